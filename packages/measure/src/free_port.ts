/**
 * Free ports on loopback.
 */

import * as net from "node:net";
import process from "node:process";
import * as random from "./random.ts";

/** Below the range that operating systems use for outgoing connections, which would take them. */
const LOWEST_PORT = 12_000;

/** Experiments that run at the same time take their ports from different blocks. */
const BLOCKS = 8;
const PORTS_IN_BLOCK = 2_250;

const taken = new Set<number>();
const lowestOfBlock = LOWEST_PORT + (process.pid % BLOCKS) * PORTS_IN_BLOCK;
const stream = new random.RandomStream(process.pid);

/** Finds ports that nothing listens on at the moment. No port is returned twice. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = lowestOfBlock + stream.nextIndex(PORTS_IN_BLOCK);
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
    // All addresses, since data centres have IP numbers of their own on loopback.
    server.listen(port, "0.0.0.0", () => server.close(() => resolve(true)));
  });
}
