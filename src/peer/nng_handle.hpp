// Owners of nng's handles.
#ifndef WAGTAILSEAM_PEER_NNG_HANDLE_HPP
#define WAGTAILSEAM_PEER_NNG_HANDLE_HPP

#include <nng/nng.h>

#include <stdexcept>
#include <string>

namespace wagtailseam::peer
{

/// Throws when an nng call failed.
inline void check_nng(int status, const char* what)
{
    if (status != 0)
    {
        throw std::runtime_error(
            std::string(what) + ": " + nng_strerror(status));
    }
}

/// Owns a socket; closing it ends all operations on it.
class nng_socket_handle
{
public:
    explicit nng_socket_handle(int (*open)(nng_socket*))
    {
        check_nng(open(&socket_), "nng socket");
    }
    ~nng_socket_handle() { nng_close(socket_); }
    nng_socket_handle(const nng_socket_handle&) = delete;
    nng_socket_handle& operator=(const nng_socket_handle&) = delete;

    [[nodiscard]] nng_socket socket() const noexcept { return socket_; }

private:
    nng_socket socket_ = NNG_SOCKET_INITIALIZER;
};

} // namespace wagtailseam::peer

#endif
