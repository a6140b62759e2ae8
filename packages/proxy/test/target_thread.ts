/**
 * A target in a thread of its own, which responds while a test blocks the event loop of its VM.
 */

import * as http from "node:http";
import * as threads from "node:worker_threads";
import * as kernel from "@hemlockwalk/kernel";

/** Settings of the target. */
export interface TargetThreadSettings {
  /** IP number and port. */
  readonly address: string;
  /** Names of the headers that it echoes and sets. */
  readonly requestId: string;
  readonly signature: string;
}

/** The body of its responses. */
export const THREAD_ANSWER = "done meanwhile";

/** Responds after the milliseconds that the query of a request states; never if there are none. */
async function run({ address, requestId, signature }: TargetThreadSettings): Promise<void> {
  const server = http.createServer((request, response) => {
    request.resume();
    const milliseconds = new URL(request.url ?? "/", "http://target.example").searchParams
      .get("wait");
    if (milliseconds !== null) {
      const headers = { [requestId]: request.headers[requestId], [signature]: "signed" };
      setTimeout(() => response.writeHead(200, headers).end(THREAD_ANSWER), Number(milliseconds));
    }
  });
  await kernel.listen(server, address);
  threads.parentPort?.postMessage("listening");
}

if (!threads.isMainThread) {
  await run(threads.workerData as TargetThreadSettings);
}
