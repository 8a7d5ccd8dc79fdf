// Names of the keys that the project uses in the platform's store.
#ifndef ORIOLEDOOR_STORE_KEYS_H
#define ORIOLEDOOR_STORE_KEYS_H

namespace orioledoor::keys {

inline constexpr char Root[] = "orioledoor/";
inline constexpr char Assignment[] = "orioledoor/assignment";
inline constexpr char Coordinator[] = "orioledoor/coordinator";
// Followed by the node's name.
inline constexpr char JoinPrefix[] = "orioledoor/join/";
inline constexpr char CatalogueCurrent[] = "orioledoor/catalogue/current";
// Followed by the revision in 12 digits.
inline constexpr char CatalogueHistoryPrefix[] =
    "orioledoor/catalogue/history/";
// Followed by the UTC time in microseconds in 16 digits, '-' and an id.
inline constexpr char AuditPrefix[] = "orioledoor/audit/";
// Followed by SERVICE/YYYY-MM-DD.
inline constexpr char SpendPrefix[] = "orioledoor/spend/";

} // namespace orioledoor::keys

#endif // ORIOLEDOOR_STORE_KEYS_H
