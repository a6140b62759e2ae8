/**
 * Tells the end of a connection from its reset.
 *
 * The runtime reports a reset as an end if it arrives together with the last bytes, and a response
 * without a length would look whole. A write tells them apart: it fails after a reset only, whatever
 * the receiver has read. If earlier bytes still wait in the socket, they are that write: the system
 * refuses them when the runtime tries them again. The runtime closes the connection as soon as it
 * handles the end, which cancels them, so it has to wait until they have been tried.
 *
 * A peer that closes its connection while it is still sent to ends it in order first and resets it
 * then. Linux reports such a reset by another error.
 */

import type * as net from "node:net";
import process from "node:process";
import * as timers from "node:timers/promises";

/** Ignored by servers in front of a request (RFC 9112, section 2.2). */
const PROBE = "\r\n";

/** Turns of the event loop within which the runtime tries again what waits in a socket. */
const RETRY_TURNS = 2;

/**
 * Lets the runtime handle the end of a connection only if no reset was reported as one. After a reset
 * the socket fails, as after any other.
 *
 * @param onReset Called at once if the reset is known when its end is reported.
 */
export function confirmEnd(socket: net.Socket, onReset: (error: Error) => void): void {
  const listeners = socket.rawListeners("end");
  socket.removeAllListeners("end");
  socket.allowHalfOpen = true;
  const handleEnd = () => {
    socket.off("error", onError);
    for (const listener of listeners) {
      listener.call(socket);
    }
  };
  const onError = (error: Error) => {
    if (isResetBehindEnd(error)) {
      handleEnd();
    }
  };
  socket.once("end", () => {
    // Runs before the runtime handles the error.
    socket.prependListener("error", onError);
    if (socket.writableLength === 0) {
      socket.write(PROBE);
    }
    if (socket.errored !== null && !isResetBehindEnd(socket.errored)) {
      onReset(socket.errored);
      return;
    }
    void waitForRetry().then(() => {
      if (!socket.destroyed) {
        handleEnd();
      }
    });
  });
}

/** Whether an error of a write says that the peer had ended the connection in order before. */
export function isResetBehindEnd(error: NodeJS.ErrnoException): boolean {
  return error.code === "EPIPE" && process.platform === "linux";
}

async function waitForRetry(): Promise<void> {
  for (let turn = 0; turn < RETRY_TURNS; turn++) {
    await timers.setImmediate();
  }
}
