spancart_package(base PkgConfig::TALLOC PkgConfig::GLIB)
spancart_package(loop base PkgConfig::H2O PkgConfig::SSL pcl Threads::Threads)
target_compile_definitions(loop PRIVATE H2O_USE_LIBUV=0)
spancart_package(wire loop PkgConfig::MSGPACK)
spancart_package(sim wire)

spancart_test(wire wire)
spancart_test(courier sim)
