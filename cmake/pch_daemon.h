#include <boost/asio.hpp>
#include <caf/all.hpp>
