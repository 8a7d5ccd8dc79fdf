// Names of the keys that orioledoor writes to the platform's key-value store.
// They are part of the stored data: a changed name would hide existing entries.
#ifndef ORIOLEDOOR_STORE_KEYS_H
#define ORIOLEDOOR_STORE_KEYS_H

namespace orioledoor::keys {

inline constexpr char Root[] = "orioledoor/";
inline constexpr char Assignment[] = "orioledoor/assignment";
inline constexpr char Coordinator[] = "orioledoor/coordinator";
// Followed by the name of the node that asks to join.
inline constexpr char JoinPrefix[] = "orioledoor/join/";
inline constexpr char CatalogueCurrent[] = "orioledoor/catalogue/current";
// Followed by the revision, padded with zeros to 12 digits.
inline constexpr char CatalogueHistoryPrefix[] =
    "orioledoor/catalogue/history/";
// Followed by the UTC time in microseconds, padded to 16 digits, '-' and an id;
// see auditKey().
inline constexpr char AuditPrefix[] = "orioledoor/audit/";
// Followed by SERVICE/YYYY-MM-DD.
inline constexpr char SpendPrefix[] = "orioledoor/spend/";

} // namespace orioledoor::keys

#endif // ORIOLEDOOR_STORE_KEYS_H
