/**
 * Finds free ports on loopback.
 */

import * as net from "node:net";
import process from "node:process";
import * as random from "./random.ts";

/** Below the ephemeral port range, from which outgoing connections could take the same ports. */
const LOWEST_PORT = 12_000;

/** Concurrent experiments usually use different blocks, chosen by the process identifier. */
const BLOCK_COUNT = 8;
const PORTS_PER_BLOCK = 2_250;

const assignedPorts = new Set<number>();
const firstPortOfBlock = LOWEST_PORT + (process.pid % BLOCK_COUNT) * PORTS_PER_BLOCK;
const randomStream = new random.RandomStream(process.pid);

/** Finds ports on which nothing is listening. Returns no port twice within a process. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = firstPortOfBlock + randomStream.nextIndex(PORTS_PER_BLOCK);
    if (!assignedPorts.has(port) && await isFree(port)) {
      assignedPorts.add(port);
      ports.push(port);
    }
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    // Checks all addresses, since each data centre has its own loopback IP address.
    server.listen(port, "0.0.0.0", () => server.close(() => resolve(true)));
  });
}
