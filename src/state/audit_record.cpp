#include "peppertack/state/audit_record.hpp"

#include <array>
#include <memory>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace peppertack {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(audit_record, sequence, log_index, wall_ms, kind, actor, cause,
                                   subject, before, after, previous_hash, hash)

namespace {

std::string sha256_hex(std::string_view text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    if (EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1) {
        return {};
    }
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(size * 2UL);
    for (unsigned int i = 0; i < size; ++i) {
        hex += digits[digest[i] >> 4U];
        hex += digits[digest[i] & 0xfU];
    }
    return hex;
}

} // namespace

std::string audit_hash(const audit_record &record) {
    nlohmann::json json = record;
    json.erase("hash");
    return sha256_hex(json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

std::string encode(const audit_record &record) {
    const nlohmann::json json = record;
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<audit_record> decode_audit(std::string_view line, std::string &reason) {
    try {
        return nlohmann::json::parse(line).get<audit_record>();
    } catch (const nlohmann::json::exception &error) {
        reason = error.what();
        return std::nullopt;
    }
}

bool extend_chain(audit_head &head, const audit_record &record, std::string &reason) {
    if (record.sequence != head.sequence + 1) {
        reason = "record " + std::to_string(record.sequence) + " follows record " +
                 std::to_string(head.sequence);
        return false;
    }
    if (record.previous_hash != head.hash) {
        reason = "record " + std::to_string(record.sequence) +
                 ": previous_hash does not match the preceding record";
        return false;
    }
    if (audit_hash(record) != record.hash) {
        reason = "record " + std::to_string(record.sequence) +
                 ": hash does not match the content of the record";
        return false;
    }
    head = {record.sequence, record.hash};
    return true;
}

} // namespace peppertack
