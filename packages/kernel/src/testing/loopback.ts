/**
 * Ports on loopback that belong to one test process, and waiting for what happens there.
 *
 * Test files run as processes of their own, side by side. A port that one of them found free and
 * closed again may be taken by another before it is used, which then gets requests that were not
 * meant for it. So each port is claimed for as long as the process lives.
 */

import * as assert from "node:assert/strict";
import * as net from "node:net";
import process from "node:process";
import * as kernel from "../mod.ts";

/** Below the range from which the system takes ports for outgoing connections and for port 0. */
const LOWEST_PORT = 20_000;

const PORTS = 10_000;

/** The next candidate; processes begin at different places, so that they seldom meet. */
let next = process.pid % PORTS;

/** The address on which a claim is held; the port stays free on 127.0.0.1. */
const CLAIM_HOST = "127.0.0.2";

const POLL_MILLISECONDS = 5;

const LONGEST_WAIT_MILLISECONDS = 30_000;

/** Claims a port of 127.0.0.1 for this process. Nothing listens there until the caller does. */
export async function claimPort(): Promise<number> {
  for (let tries = 0; tries < PORTS; tries++) {
    const port = LOWEST_PORT + next;
    next = (next + 1) % PORTS;
    if (await isBindable("127.0.0.1", port) && await hold(port)) {
      return port;
    }
  }
  assert.fail("All ports are claimed.");
}

/** Claims an address on which nothing listens. */
export async function claimDeadAddress(): Promise<string> {
  return `127.0.0.1:${await claimPort()}`;
}

/**
 * Waits until a condition holds.
 *
 * @param what Names the condition when it never holds.
 * @param milliseconds Longest time to wait.
 */
export async function waitFor(
  condition: () => boolean | Promise<boolean>,
  what: string,
  milliseconds = LONGEST_WAIT_MILLISECONDS,
): Promise<void> {
  const endsAt = kernel.getMonotonicMilliseconds() + milliseconds;
  while (!await condition()) {
    assert.ok(kernel.getMonotonicMilliseconds() < endsAt, `Not in time: ${what}`);
    await kernel.sleep(POLL_MILLISECONDS);
  }
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

async function hold(port: number): Promise<boolean> {
  const server = await listen(CLAIM_HOST, port);
  server?.unref();
  return server !== undefined;
}
