/**
 * Claims loopback ports for one test process and waits for conditions.
 *
 * Test files run in parallel processes. If one process finds a free port and closes it again,
 * another process may bind it before the first one uses it, and then receives requests that were
 * meant for the first. Each port is therefore claimed until the process exits.
 */

import * as assert from "node:assert/strict";
import * as net from "node:net";
import process from "node:process";
import * as kernel from "../mod.ts";

/** Below the range from which the system assigns ports for outgoing connections and for port 0. */
const LOWEST_PORT = 20_000;

const PORT_COUNT = 10_000;

/** Offset of the next candidate. Processes start at different offsets, so they rarely collide. */
let nextOffset = process.pid % PORT_COUNT;

/** Address on which a claimed port is bound, so that it stays free on 127.0.0.1. */
const CLAIM_HOST = "127.0.0.2";

const POLL_MILLISECONDS = 5;

const MAX_WAIT_MILLISECONDS = 30_000;

/** Claims a port of 127.0.0.1 for this process. Nothing listens on it until the caller does. */
export async function claimPort(): Promise<number> {
  for (let attempt = 0; attempt < PORT_COUNT; attempt++) {
    const port = LOWEST_PORT + nextOffset;
    nextOffset = (nextOffset + 1) % PORT_COUNT;
    // The claim comes first: a test of the port would be in the way of the process that holds it.
    if (await bindClaim(port) && await isBindable("127.0.0.1", port)) {
      return port;
    }
  }
  assert.fail("All ports are claimed.");
}

/** Claims an address on which nothing listens. */
export async function claimUnusedAddress(): Promise<string> {
  return `127.0.0.1:${await claimPort()}`;
}

/**
 * Waits until a condition holds.
 *
 * @param what Describes the condition in the message of a failure.
 * @param milliseconds Longest time to wait.
 */
export async function waitFor(
  condition: () => boolean | Promise<boolean>,
  what: string,
  milliseconds = MAX_WAIT_MILLISECONDS,
): Promise<void> {
  const endsAt = kernel.getMonotonicMilliseconds() + milliseconds;
  while (!await condition()) {
    assert.ok(kernel.getMonotonicMilliseconds() < endsAt, `Timed out waiting for: ${what}`);
    await kernel.sleep(POLL_MILLISECONDS);
  }
}

/**
 * Whether a connection ended in order, asked when its end is reported.
 *
 * Libuv reports a reset as an end in order if it arrives together with the last bytes. A write tells
 * them apart, also an empty one: it fails only after a reset.
 *
 * @param socket Must allow half-open connections, since it could not be written to otherwise.
 */
export function hasEndedInOrder(socket: net.Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.write("", (error) => resolve(error === undefined || error === null));
  });
}

function listen(host: string, port: number): Promise<net.Server | undefined> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(undefined));
    server.listen({ host, port, exclusive: true }, () => resolve(server));
  });
}

async function isBindable(host: string, port: number): Promise<boolean> {
  const server = await listen(host, port);
  if (server === undefined) {
    return false;
  }
  await new Promise((resolve) => server.close(resolve));
  return true;
}

async function bindClaim(port: number): Promise<boolean> {
  const server = await listen(CLAIM_HOST, port);
  server?.unref();
  return server !== undefined;
}
