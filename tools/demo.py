"""The demo: four routers over three failure domains serve the Authority."""
import fleet

ROUTERS_BY_DOMAIN = (2, 1, 1)
REQUESTS = 3000


def main():
    print("starting 18 model engines, 3 booking servers and "
          f"{sum(ROUTERS_BY_DOMAIN)} routers on loopback")
    with fleet.Fleet("authority", ROUTERS_BY_DOMAIN) as f:
        print(f"sending {REQUESTS} requests of returning chats and bookings\n")
        f.load("--requests", REQUESTS, "--rate", 200, "--chats", 500,
               quiet=False)
        print("\nrouters")
        for router in f.routers:
            print(f"  {router['id']:<16} callers 127.0.0.1:"
                  f"{router['callers']}  operators 127.0.0.1:"
                  f"{router['admin']}")
    print("stopped and cleaned up")


if __name__ == "__main__":
    main()
