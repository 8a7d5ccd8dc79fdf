// Lookup, splitting and JSON encoding of a key map. The encoding lists each
// target once, and rows refer to targets by index, since many rows share a
// target.
#include "orioledoor/keyspace/key_map.h"

#include <algorithm>
#include <exception>
#include <utility>

#include <nlohmann/json.hpp>

#include "orioledoor/base/error.h"
#include "orioledoor/store/json_fields.h"

namespace orioledoor::keyspace {
namespace {

using nlohmann::json;

constexpr int NoTarget = -1;

class TargetList {
public:
  int indexOf(const TargetRef &Target) {
    if (!Target)
      return NoTarget;
    auto Found = std::ranges::find(this->Targets, Target);
    if (Found == this->Targets.end()) {
      this->Targets.push_back(Target);
      Found = std::prev(this->Targets.end());
    }
    return static_cast<int>(Found - this->Targets.begin());
  }
  json toJson() const {
    json TargetsJson = json::array();
    for (const TargetRef &Target : this->Targets)
      TargetsJson.push_back({Target.Instance, Target.StartTimeMs, Target.Node});
    return TargetsJson;
  }

private:
  std::vector<TargetRef> Targets;
};

TargetRef targetAt(const std::vector<TargetRef> &Targets, int Index) {
  return Index == NoTarget ? TargetRef()
                           : Targets.at(static_cast<std::size_t>(Index));
}

} // namespace

const KeyRow *KeyMap::find(std::uint32_t Key) const {
  auto NextRow = std::ranges::upper_bound(
      this->Rows, Key, {}, [](const KeyRow &Row) { return Row.Keys.From; });
  if (NextRow == this->Rows.begin())
    return nullptr;
  const KeyRow &Row = *std::prev(NextRow);
  return Row.Keys.contains(Key) ? &Row : nullptr;
}

const LostTarget *KeyMap::findLost(const TargetRef &Target) const {
  auto Found = std::ranges::find(this->Lost, Target, &LostTarget::Target);
  return Found == this->Lost.end() ? nullptr : &*Found;
}

void KeyMap::splitRowsAt(const KeyRange &Keys) {
  auto SplitBefore = [this](std::uint32_t Key) {
    auto Found = std::ranges::find_if(this->Rows, [Key](const KeyRow &Row) {
      return Row.Keys.From < Key && Key <= Row.Keys.To;
    });
    if (Found == this->Rows.end())
      return;
    KeyRow Tail = *Found;
    Found->Keys.To = Key - 1;
    Tail.Keys.From = Key;
    this->Rows.insert(std::next(Found), std::move(Tail));
  };
  SplitBefore(Keys.From);
  if (Keys.To < LastKey)
    SplitBefore(Keys.To + 1);
}

void KeyMap::mergeAdjacentRows() {
  std::vector<KeyRow> Merged;
  for (KeyRow &Row : this->Rows) {
    if (!Merged.empty()) {
      KeyRow &Last = Merged.back();
      if (Last.Keys.To + 1 == Row.Keys.From && Last.Owner == Row.Owner &&
          Last.Fence == Row.Fence && Last.Handover == Row.Handover &&
          Last.Next == Row.Next) {
        Last.Keys.To = Row.Keys.To;
        continue;
      }
    }
    Merged.push_back(std::move(Row));
  }
  this->Rows = std::move(Merged);
}

std::string encodeKeyMap(const KeyMap &Map) {
  TargetList Targets;
  json RowsJson = json::array();
  for (const KeyRow &Row : Map.Rows)
    RowsJson.push_back({Row.Keys.From, Row.Keys.To, Targets.indexOf(Row.Owner),
                        Row.Fence, Row.Handover, Targets.indexOf(Row.Next)});
  json LostJson = json::array();
  for (const LostTarget &Lost : Map.Lost)
    LostJson.push_back({Targets.indexOf(Lost.Target), Lost.Mark});
  json Document = {{"service", Map.Service},    {"last_fence", Map.LastFence},
                   {"last_mark", Map.LastMark}, {"targets", Targets.toJson()},
                   {"rows", RowsJson},          {"lost", LostJson}};
  if (Map.Era != 0) {
    Document["era"] = Map.Era;
    Document["era_fence"] = Map.EraFence;
  }
  return Document.dump();
}

absl::StatusOr<KeyMap> decodeKeyMap(std::string_view Text) {
  try {
    json Document = json::parse(Text);
    KeyMap Map;
    Map.Service = Document.at("service");
    Map.LastFence = Document.at("last_fence");
    Map.LastMark = Document.at("last_mark");
    // Maps of stores that state no era do not have these fields.
    Map.Era = Document.value("era", std::int64_t{0});
    Map.EraFence = Document.value("era_fence", std::int64_t{0});
    std::vector<TargetRef> Targets;
    for (const json &Item : Document.at("targets"))
      Targets.push_back({Item.at(0), Item.at(1), Item.at(2)});
    for (const json &Item : Document.at("rows")) {
      // Rows are in ascending order and do not overlap.
      std::uint32_t First = Map.Rows.empty() ? 0 : Map.Rows.back().Keys.To + 1;
      auto From = readInteger(Item.at(0), First, LastKey);
      Map.Rows.push_back(
          {.Keys = {From, readInteger(Item.at(1), From, LastKey)},
           .Owner = targetAt(Targets, Item.at(2)),
           .Fence = readInteger<std::int64_t>(Item.at(3), 0),
           .Handover = Item.at(4),
           .Next = targetAt(Targets, Item.at(5))});
    }
    for (const json &Item : Document.at("lost"))
      Map.Lost.push_back({targetAt(Targets, Item.at(0)), Item.at(1)});
    return Map;
  } catch (const std::exception &Error) {
    return makeError(absl::StatusCode::kInvalidArgument, "read key map", "",
                     Error.what());
  }
}

} // namespace orioledoor::keyspace
