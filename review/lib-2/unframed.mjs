/** An answer that has no length and ends with its connection. */

import * as servers from "./server.mjs";
import * as systems from "./system.mjs";

/**
 * Creates the work of a server that sends such an answer in parts.
 *
 * @returns The work, and the whole body.
 */
export function createUnframedWork({ parts, partBytes, partMilliseconds }) {
  const bodyParts = Array.from({ length: parts }, (_, part) => Buffer.alloc(partBytes, 97 + part));
  const work = async (server, { response, id }) => {
    const { socket } = response;
    const head = { ...servers.createAnswerHead(id), Connection: "close" };
    const lines = Object.entries(head).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    socket.write(`HTTP/1.1 200 OK\r\n${lines}\r\n`);
    for (const part of bodyParts) {
      if (socket.destroyed) {
        server.record(`finds the connection of ${id} closed`);
        return;
      }
      socket.write(part);
      await systems.sleep(partMilliseconds);
    }
    server.record(`has sent its whole answer to ${id}`);
    socket.end();
  };
  return { work, whole: Buffer.concat(bodyParts) };
}

/** Judges what a client has got of such an answer by the rule MIXED. */
export function judge(system, connection, id, whole) {
  const [answer] = connection.responses;
  if (answer === undefined) {
    const summary = `held: ${id} has no answer; its connection ended by ${connection.ending}`;
    return { isBroken: false, summary };
  }
  const { status, headers, body, framing, isComplete } = answer;
  system.record(
    `the client has status ${status}, signature ${headers["response-signature"]}, delimited by ` +
      `${framing}, ${body.length} of ${whole.length} bytes; its connection ended by ` +
      `${connection.ending ?? "nothing yet"}`,
  );
  const isBroken = status === 200 && isComplete && !body.equals(whole);
  const looks = isComplete ? "complete" : "incomplete";
  const sizes = `${body.length} of ${whole.length} bytes`;
  return {
    isBroken,
    summary: `${isBroken ? "MIXED broken" : "held"}: the answer looks ${looks} and has ${sizes}`,
  };
}
