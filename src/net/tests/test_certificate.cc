#include "net/tests/test_certificate.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rsa.h>
#include <openssl/x509.h>

#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>

namespace meadowthread::tests {
namespace {

constexpr unsigned kKeyBits = 2'048;
constexpr std::int64_t kValidS = 3'600;

struct Freed {
  void operator()(EVP_PKEY* key) const { EVP_PKEY_free(key); }
  void operator()(X509* certificate) const { X509_free(certificate); }
  void operator()(std::FILE* file) const { std::fclose(file); }
};
using Key = std::unique_ptr<EVP_PKEY, Freed>;
using Certificate = std::unique_ptr<X509, Freed>;
using File = std::unique_ptr<std::FILE, Freed>;

Certificate Sign(EVP_PKEY* key) {
  Certificate certificate(X509_new());
  X509_set_version(certificate.get(), 2);
  ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
  X509_gmtime_adj(X509_getm_notBefore(certificate.get()), 0);
  X509_gmtime_adj(X509_getm_notAfter(certificate.get()), kValidS);
  X509_set_pubkey(certificate.get(), key);
  X509_NAME* const name = X509_get_subject_name(certificate.get());
  const unsigned char common_name[] = "localhost";
  X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, common_name, -1, -1, 0);
  X509_set_issuer_name(certificate.get(), name);
  X509_sign(certificate.get(), key, EVP_sha256());
  return certificate;
}

}  // namespace

TestCertificate::TestCertificate() {
  const Key key(EVP_RSA_gen(kKeyBits));
  const Certificate certificate = Sign(key.get());
  const TlsFiles files = this->Files();
  const File key_file(std::fopen(files.key_file.c_str(), "w"));
  PEM_write_PrivateKey(key_file.get(), key.get(), nullptr, nullptr, 0, nullptr,
                       nullptr);
  const File certificate_file(std::fopen(files.certificate_file.c_str(), "w"));
  PEM_write_X509(certificate_file.get(), certificate.get());
}

TlsFiles TestCertificate::Files() const {
  return {this->folder.filePath("certificate.pem").toStdString(),
          this->folder.filePath("key.pem").toStdString()};
}

}  // namespace meadowthread::tests
