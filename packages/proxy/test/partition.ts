/**
 * A partition between one VM of a test and the targets, for the connections from its address.
 */

import * as net from "node:net";
import * as test from "node:test";
import type * as harness from "./harness.ts";

/** What happens to the connections of the VM that is cut off. */
export type PartitionMode =
  /** New connections hang, and open ones go silent. */
  | "hangs"
  /** Open connections are reset, and new ones are refused. */
  | "resets"
  /** Open connections live on, and new ones are refused. */
  | "refuses new connections";

/** Cuts off the VMs with the given addresses from the targets; returns what ends the partition. */
export function startPartition(
  hosts: readonly string[],
  targets: readonly harness.TestTarget[],
  mode: PartitionMode,
): () => void {
  const ports = new Set(targets.map(({ port }) => port));
  const isCut = (options: unknown): boolean => {
    const { port, localAddress } = (options ?? {}) as net.TcpSocketConnectOpts;
    return ports.has(Number(port)) && localAddress !== undefined && hosts.includes(localAddress);
  };
  const prototype: { connect: (this: net.Socket, ...values: never[]) => net.Socket } =
    net.Socket.prototype;
  const { connect } = prototype;
  const mock = test.mock.method(
    net.Socket.prototype,
    "connect",
    function (this: net.Socket, ...values: never[]): net.Socket {
      // Node.js passes normalized arguments: an array whose first element holds the options.
      const first: unknown = values[0];
      const options: unknown = Array.isArray(first) ? first[0] : first;
      if (!isCut(options)) {
        return connect.apply(this, values);
      }
      if (mode !== "hangs") {
        setImmediate(() =>
          this.destroy(Object.assign(new Error("refused"), { code: "ECONNREFUSED" }))
        );
      }
      Object.assign(this, { connecting: true });
      return this;
    },
  );
  for (const target of targets) {
    for (const host of hosts) {
      if (mode === "hangs") {
        target.silentTo.add(host);
      } else if (mode === "resets") {
        target.resetConnections(host);
      }
    }
  }
  return () => {
    mock.mock.restore();
    targets.forEach((target) => target.silentTo.clear());
  };
}
