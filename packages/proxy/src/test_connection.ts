/**
 * Test connections to targets, which carry no request.
 */

import * as net from "node:net";
import * as kernel from "@hemlockwalk/kernel";

/** A test connection that has been started. */
export interface ConnectionAttempt {
  /** Ends the attempt without a result. */
  cancel(): void;
}

/**
 * Opens a connection to an address and closes it at once.
 *
 * @param sourceAddress Own address from which to connect; undefined for any.
 * @param finish Called once with the time that it took, or undefined if it failed.
 */
export function testConnection(
  address: string,
  sourceAddress: string | undefined,
  timeoutMilliseconds: number,
  finish: (milliseconds: number | undefined) => void,
): ConnectionAttempt {
  const { host, port } = kernel.splitAddress(address);
  const startedAt = kernel.getMonotonicMilliseconds();
  const socket = new net.Socket();
  const close = () => {
    timer.stop();
    socket.removeAllListeners();
    // The socket may still fail while it closes; that is of no interest.
    socket.on("error", () => undefined);
    socket.destroy();
  };
  const timer = kernel.startInputTimer(() => {
    close();
    finish(undefined);
  }, timeoutMilliseconds);
  socket.once("error", () => {
    close();
    finish(undefined);
  });
  socket.once("connect", () => {
    close();
    finish(kernel.getMonotonicMilliseconds() - startedAt);
  });
  try {
    socket.connect({
      host,
      port,
      ...(sourceAddress === undefined ? {} : { localAddress: sourceAddress }),
    });
  } catch (error) {
    // No address can look like this; it fails like one that nobody has.
    socket.destroy(error instanceof Error ? error : new Error(String(error)));
  }
  return { cancel: close };
}
