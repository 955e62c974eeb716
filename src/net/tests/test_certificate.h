#ifndef MEADOWTHREAD_NET_TESTS_TEST_CERTIFICATE_H_
#define MEADOWTHREAD_NET_TESTS_TEST_CERTIFICATE_H_

#include <QTemporaryDir>

#include "net/http_server.h"

namespace meadowthread::tests {

/// @brief A key and a certificate signed by it, made anew; gone with this.
class TestCertificate {
 public:
  TestCertificate();

  TlsFiles Files() const;

 private:
  QTemporaryDir folder;
};

}  // namespace meadowthread::tests

#endif  // MEADOWTHREAD_NET_TESTS_TEST_CERTIFICATE_H_
