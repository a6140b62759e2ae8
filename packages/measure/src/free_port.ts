/**
 * Free ports on loopback.
 */

import * as net from "node:net";

/** Finds ports that nothing listens on at the moment. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers: net.Server[] = [];
  for (let index = 0; index < count; index++) {
    const server = net.createServer();
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    servers.push(server);
  }
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
  for (const server of servers) {
    await new Promise<void>((resolve) => server.close(() => resolve()));
  }
  return ports;
}
