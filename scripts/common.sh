# Shared by the scripts: packages and the build. Sourced, not run.

PACKAGES="libasio-dev libcapnp-dev capnproto libboost-dev libcpp-httplib-dev libcxxopts-dev
  libgoogle-glog-dev doctest-dev nlohmann-json3-dev libxxhash-dev librapidcheck-dev libcsv-dev
  libssl-dev zlib1g-dev libbrotli-dev pkg-config ninja-build ccache cmake g++ curl"

install_packages() {
  local missing=""
  for package in $PACKAGES; do
    dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
  done
  [ -z "$missing" ] && return 0
  apt-get update >/dev/null
  # shellcheck disable=SC2086
  DEBIAN_FRONTEND=noninteractive apt-get install -y $missing >/dev/null
}

# build FOLDER [cmake arguments]: configures and builds there.
build() {
  local folder=$1
  shift
  cmake -S . -B "$folder" -G Ninja "$@" >/dev/null
  ninja -C "$folder" | tail -n 1
}
