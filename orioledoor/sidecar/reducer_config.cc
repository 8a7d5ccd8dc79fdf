// The configuration: what this node takes over, states to others and sends to
// nodes that are behind.
#include <utility>

#include "orioledoor/sidecar/events.h"
#include "orioledoor/sidecar/reducer.h"

namespace orioledoor::sidecar {
namespace {

// A configuration that is sent to a node takes at most this part of the link's
// time; the rest is for requests.
constexpr int ConfigLinkDivisor = 4;

} // namespace

void SidecarReducer::on(const ConfigReadReplied &Replied, Instant Now) {
  this->take(this->Config.onStoreReply(Replied.Reply, Now));
}

void SidecarReducer::on(const ConfigWatchUpdated &Watched, Instant Now) {
  this->take(this->Config.watched(Watched.Update, Now));
}

void SidecarReducer::on(ConfigDecoded Read, Instant Now) {
  std::string Source = Read.Node.empty() ? "store" : Read.Node;
  const routing::SharedTable &Known = this->Entry.table();
  if (Known && Read.Table->Version <= Known->Version) {
    if (Read.Table->Version < Known->Version)
      this->Out.push_back(
          LogRecord{&events::ConfigRefused,
                    {{"version", std::to_string(Read.Table->Version)},
                     {"in_force", std::to_string(Known->Version)},
                     {"from", std::move(Source)}}});
    return;
  }
  this->Out.push_back(
      LogRecord{&events::ConfigInForce,
                {{"version", std::to_string(Read.Table->Version)},
                 {"before", std::to_string(Known ? Known->Version : 0)},
                 {"routes", std::to_string(Read.Table->routes().size())},
                 {"from", std::move(Source)}}});
  this->Config.setTransferTime(this->transferTime(Read.Table->Document.size()));
  this->Config.setVersionInForce(Read.Table->Version, Now);
  this->Out.push_back(ApplyLimits{Read.Table->Limits});
  this->Entry.setTable(std::move(Read.Table));
  this->Entry.awaitTable(this->Config.isBehind());
}

void SidecarReducer::setConfigVersion(routing::Message &Body) const {
  std::uint64_t Version =
      this->Entry.table() ? this->Entry.table()->Version : 0;
  if (auto *Request = std::get_if<routing::Forward>(&Body))
    Request->ConfigVersion = Version;
  else if (auto *Result = std::get_if<routing::ForwardResult>(&Body))
    Result->ConfigVersion = Version;
}

void SidecarReducer::onPeerConfigVersion(const std::string &From,
                                         std::uint64_t Version, Instant Now) {
  if (From == this->Options.Node)
    return;
  this->Config.onVersionSeen(From, Version, Now);
  this->Entry.awaitTable(this->Config.isBehind());
}

Duration SidecarReducer::transferTime(std::size_t Bytes) const {
  double Rate = this->Options.LinkBytesPerSecond;
  return Duration(Rate > 0 ? static_cast<std::int64_t>(
                                 static_cast<double>(Bytes) * 1e6 / Rate)
                           : 0);
}

void SidecarReducer::sendConfig(const std::string &To,
                                const routing::FetchConfig &Asked,
                                Instant Now) {
  const routing::SharedTable &Table = this->Entry.table();
  // Who gets no answer asks again, this node or another one.
  if (!Table || Table->Version <= Asked.Known || Now < this->ConfigSendAt)
    return;
  this->ConfigSendAt =
      Now + this->transferTime(Table->Document.size()) * ConfigLinkDivisor;
  this->Out.push_back(
      LogRecord{&events::ConfigSent,
                {{"peer", To},
                 {"known", std::to_string(Asked.Known)},
                 {"version", std::to_string(Table->Version)},
                 {"bytes", std::to_string(Table->Document.size())}}});
  this->Out.push_back(SendMessage{To, routing::ConfigNotice{Table->Document}});
}

void SidecarReducer::take(ConfigActions Step) {
  if (Step.Taken)
    this->Out.push_back(DecodeConfig{std::move(Step.Taken->Value), ""});
  if (Step.Read)
    this->Out.push_back(ReadConfig{*std::move(Step.Read)});
  if (Step.WatchAfter)
    this->Out.push_back(WatchConfig{*Step.WatchAfter});
  if (!Step.FetchFromNode)
    return;
  const routing::SharedTable &Table = this->Entry.table();
  std::uint64_t Known = Table ? Table->Version : 0;
  this->Out.push_back(
      LogRecord{&events::ConfigBehind,
                {{"in_force", std::to_string(Known)},
                 {"newest", std::to_string(this->Config.newestVersion())},
                 {"at", *Step.FetchFromNode}}});
  this->Out.push_back(
      SendMessage{*Step.FetchFromNode, routing::FetchConfig{Known}});
}

} // namespace orioledoor::sidecar
