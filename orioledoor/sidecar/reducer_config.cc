// Handling of the configuration: applying new versions, announcing the version
// in force to other nodes and sending the configuration to nodes that have an
// older one. Also sends key maps, which share the link.
#include <utility>

#include "orioledoor/sidecar/events.h"
#include "orioledoor/sidecar/reducer.h"

namespace orioledoor::sidecar {
namespace {

// Sending configurations to other nodes uses at most this fraction (1/4) of the
// link's time; the rest is left for requests.
constexpr int ConfigLinkDivisor = 4;
// The same for key maps. Most nodes learn of changes from the node that wrote
// them; a whole map is for those that missed one.
constexpr int KeyMapLinkDivisor = 8;

} // namespace

void SidecarReducer::on(ConfigReadReplied Replied, Instant Now) {
  if (!this->admitStoreAnswer(Replied.Reply.Status, Replied.Reply.Era, Now))
    Replied.Reply = {.Status = earlierEraError()};
  this->apply(this->Config.onStoreReply(Replied.Reply, Now), Now);
}

void SidecarReducer::on(const ConfigWatchUpdated &Watched, Instant Now) {
  if (!this->admitStoreAnswer(Watched.Update.Status, Watched.Update.Era, Now))
    return;
  this->apply(this->Config.onWatchUpdate(Watched.Update, Now), Now);
}

void SidecarReducer::on(ConfigDecoded Decoded, Instant Now) {
  std::string Source = Decoded.Node.empty() ? "store" : Decoded.Node;
  const routing::SharedRouteTable &Known = this->Entry.table();
  if (Known && Decoded.Table->Version <= Known->Version) {
    if (Decoded.Table->Version < Known->Version)
      this->Out.push_back(
          LogRecord{&events::ConfigRefused,
                    {{"version", std::to_string(Decoded.Table->Version)},
                     {"in_force", std::to_string(Known->Version)},
                     {"from", std::move(Source)}}});
    return;
  }
  this->Out.push_back(
      LogRecord{&events::ConfigInForce,
                {{"version", std::to_string(Decoded.Table->Version)},
                 {"before", std::to_string(Known ? Known->Version : 0)},
                 {"routes", std::to_string(Decoded.Table->routes().size())},
                 {"from", std::move(Source)}}});
  this->Config.setTransferTime(
      this->transferTime(Decoded.Table->Document.size()));
  this->Config.setVersionInForce(Decoded.Table->Version, Now);
  this->Out.push_back(ApplyLimits{Decoded.Table->Limits});
  this->Gate.setTable(Decoded.Table);
  this->Gate.setRoutes(*Decoded.Table, Now, this->RoutingEffects);
  this->Entry.setTable(std::move(Decoded.Table));
  this->Entry.setNewerTableKnown(this->Config.isBehind());
}

void SidecarReducer::stampMessage(routing::Message &Body, Instant Now) const {
  std::uint64_t Version =
      this->Entry.table() ? this->Entry.table()->Version : 0;
  if (auto *Request = std::get_if<routing::Forward>(&Body)) {
    Request->ConfigVersion = Version;
    Request->SentAt = Now;
  } else if (auto *Result = std::get_if<routing::ForwardResult>(&Body)) {
    Result->ConfigVersion = Version;
    Result->SentAt = Now;
  } else if (auto *Status = std::get_if<routing::StatusNotice>(&Body)) {
    Status->SentAt = Now;
  } else if (auto *Content = std::get_if<routing::ForwardBody>(&Body)) {
    Content->SentAt = Now;
  }
}

void SidecarReducer::onPeerConfigVersion(const std::string &From,
                                         std::uint64_t Version, Instant Now) {
  if (From == this->Options.Node)
    return;
  this->Config.onVersionSeen(From, Version, Now);
  this->Entry.setNewerTableKnown(this->Config.isBehind());
}

Duration SidecarReducer::transferTime(std::size_t Bytes) const {
  double Rate = this->Options.LinkBytesPerSecond;
  return Duration(Rate > 0 ? static_cast<std::int64_t>(
                                 static_cast<double>(Bytes) * 1e6 / Rate)
                           : 0);
}

void SidecarReducer::sendConfig(const std::string &To,
                                const routing::FetchConfig &Request,
                                Instant Now) {
  const routing::SharedRouteTable &Table = this->Entry.table();
  // A node that gets no answer asks again, either this node or another one.
  if (!Table || Table->Version <= Request.KnownVersion ||
      Now < this->ConfigSendAt)
    return;
  this->ConfigSendAt =
      Now + this->transferTime(Table->Document.size()) * ConfigLinkDivisor;
  this->Out.push_back(
      LogRecord{&events::ConfigSent,
                {{"peer", To},
                 {"known", std::to_string(Request.KnownVersion)},
                 {"version", std::to_string(Table->Version)},
                 {"bytes", std::to_string(Table->Document.size())}}});
  this->Out.push_back(SendMessage{To, routing::ConfigNotice{Table->Document}});
}

void SidecarReducer::sendKeyMap(const std::string &To,
                                const routing::Forward &Request, Instant Now) {
  if (Now < this->KeyMapSendAt)
    return;
  std::size_t Bytes = this->Keys.sendKeyMap(
      To, Request.Service, Request.KeyMapRevision, Now, this->Out);
  this->KeyMapSendAt = Now + this->transferTime(Bytes) * KeyMapLinkDivisor;
}

void SidecarReducer::apply(ConfigActions Actions, Instant Now) {
  for (InvalidOperatorKey &Invalid : Actions.InvalidKeys)
    this->Out.push_back(LogRecord{&events::OperatorKeyIgnored,
                                  {{"key", std::move(Invalid.Key)},
                                   {"why", std::move(Invalid.Fault)},
                                   {"peer", "store"}}});
  if (Actions.Evacuations)
    this->on(*Actions.Evacuations, Now);
  if (Actions.NewConfig)
    this->Out.push_back(DecodeConfig{std::move(Actions.NewConfig->Value), ""});
  if (Actions.Read)
    this->Out.push_back(ReadConfig{*std::move(Actions.Read)});
  if (Actions.WatchAfter)
    this->Out.push_back(WatchConfig{*Actions.WatchAfter});
  if (!Actions.FetchFromNode)
    return;
  const routing::SharedRouteTable &Table = this->Entry.table();
  std::uint64_t Known = Table ? Table->Version : 0;
  this->Out.push_back(
      LogRecord{&events::ConfigBehind,
                {{"in_force", std::to_string(Known)},
                 {"newest", std::to_string(this->Config.newestVersion())},
                 {"at", *Actions.FetchFromNode}}});
  this->Out.push_back(
      SendMessage{*Actions.FetchFromNode, routing::FetchConfig{Known}});
}

} // namespace orioledoor::sidecar
