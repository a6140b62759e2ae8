/**
 * Free ports on loopback.
 */

import * as net from "node:net";
import process from "node:process";
import * as random from "./random.ts";

/** Below the range that operating systems use for outgoing connections, which would take them. */
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 30_000;

const taken = new Set<number>();
const stream = new random.RandomStream(process.pid);

/** Finds ports that nothing listens on at the moment. No port is returned twice. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = LOWEST_PORT + stream.nextIndex(HIGHEST_PORT - LOWEST_PORT);
    if (!taken.has(port) && await isFree(port)) {
      taken.add(port);
      ports.push(port);
    }
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
