// Look-up, splitting and the JSON form of a key map. Target lives are listed
// once and rows name them by position, since many rows share one.
#include "orioledoor/keyspace/key_map.h"

#include <algorithm>
#include <exception>
#include <utility>

#include <nlohmann/json.hpp>

#include "orioledoor/base/error.h"

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
    json List = json::array();
    for (const TargetRef &Each : this->Targets)
      List.push_back({Each.Instance, Each.StartTimeMs, Each.Node});
    return List;
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
  auto After = std::ranges::upper_bound(
      this->Rows, Key, {}, [](const KeyRow &Row) { return Row.Keys.From; });
  if (After == this->Rows.begin())
    return nullptr;
  const KeyRow &Row = *std::prev(After);
  return Row.Keys.contains(Key) ? &Row : nullptr;
}

const LostTarget *KeyMap::findLost(const TargetRef &Target) const {
  auto Found = std::ranges::find(this->Lost, Target, &LostTarget::Target);
  return Found == this->Lost.end() ? nullptr : &*Found;
}

void KeyMap::splitAt(const KeyRange &Keys) {
  auto SplitBefore = [this](std::uint32_t Key) {
    auto Row = std::ranges::find_if(this->Rows, [Key](const KeyRow &Each) {
      return Each.Keys.From < Key && Key <= Each.Keys.To;
    });
    if (Row == this->Rows.end())
      return;
    KeyRow Tail = *Row;
    Row->Keys.To = Key - 1;
    Tail.Keys.From = Key;
    this->Rows.insert(std::next(Row), std::move(Tail));
  };
  SplitBefore(Keys.From);
  if (Keys.To < LastKey)
    SplitBefore(Keys.To + 1);
}

void KeyMap::mergeNeighbours() {
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
  json Rows = json::array();
  for (const KeyRow &Row : Map.Rows)
    Rows.push_back({Row.Keys.From, Row.Keys.To, Targets.indexOf(Row.Owner),
                    Row.Fence, Row.Handover, Targets.indexOf(Row.Next)});
  json Lost = json::array();
  for (const LostTarget &Each : Map.Lost)
    Lost.push_back({Targets.indexOf(Each.Target), Each.Mark});
  json Whole = {{"service", Map.Service},
                {"last_fence", Map.LastFence},
                {"last_mark", Map.LastMark},
                {"targets", Targets.toJson()},
                {"rows", Rows},
                {"lost", Lost}};
  return Whole.dump();
}

absl::StatusOr<KeyMap> decodeKeyMap(std::string_view Text) {
  try {
    json Whole = json::parse(Text);
    KeyMap Map;
    Map.Service = Whole.at("service");
    Map.LastFence = Whole.at("last_fence");
    Map.LastMark = Whole.at("last_mark");
    std::vector<TargetRef> Targets;
    for (const json &Each : Whole.at("targets"))
      Targets.push_back({Each.at(0), Each.at(1), Each.at(2)});
    for (const json &Each : Whole.at("rows"))
      Map.Rows.push_back({.Keys = {Each.at(0), Each.at(1)},
                          .Owner = targetAt(Targets, Each.at(2)),
                          .Fence = Each.at(3),
                          .Handover = Each.at(4),
                          .Next = targetAt(Targets, Each.at(5))});
    for (const json &Each : Whole.at("lost"))
      Map.Lost.push_back({targetAt(Targets, Each.at(0)), Each.at(1)});
    return Map;
  } catch (const std::exception &Error) {
    return makeError(absl::StatusCode::kInvalidArgument, "read key map", "",
                     Error.what());
  }
}

} // namespace orioledoor::keyspace
