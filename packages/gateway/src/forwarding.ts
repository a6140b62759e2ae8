/**
 * Sends one request to one target and streams the answer back.
 */

import type * as http from "node:http";
import * as streams from "node:stream/promises";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as targets from "@hemlockwalk/targets";
import * as undici from "undici";
import * as keys from "./keys.ts";
import * as refusals from "./refusals.ts";
import type * as types from "./types.ts";

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Header that tells a target for which workspace a request runs. */
const WORKSPACE_HEADER = "hemlockwalk-workspace";

const DEADLINE_HEADER = "hemlockwalk-timeout-milliseconds";

/** How one attempt ended, and what the caller gets where no answer has begun. */
export interface AttemptResult {
  readonly outcome: targets.CallOutcome;
  readonly refusal?: refusals.Refusal | undefined;
}

/** Runs one attempt. The answer of the target goes to the caller as it comes. */
export async function forwardRequest(
  dispatcher: undici.Dispatcher,
  accepted: types.AcceptedRequest,
  target: model.Target,
  request: http.IncomingMessage,
  response: http.ServerResponse,
  callerGone: AbortSignal,
): Promise<AttemptResult> {
  const started = kernel.getMonotonicMilliseconds();
  const left = accepted.deadlineMilliseconds - started;
  const deadline = AbortSignal.timeout(Math.max(0, Math.floor(left)));
  const finish = (result: targets.CallResult, refusal?: refusals.Refusal): AttemptResult => ({
    outcome: {
      result,
      latencyMilliseconds: kernel.getMonotonicMilliseconds() - started,
      route: accepted.route.id,
    },
    refusal,
  });
  let answer: undici.Dispatcher.ResponseData;
  try {
    answer = await undici.request(`http://${target.address}${accepted.target}`, {
      dispatcher,
      method: request.method ?? "GET",
      headers: createForwardedHeaders(request, accepted, left),
      body: hasBody(request) ? request : null,
      signal: AbortSignal.any([deadline, callerGone]),
    });
  } catch (error) {
    return finishFailed(error, deadline, callerGone, finish);
  }
  try {
    copyHead(answer, response);
    await streams.pipeline(answer.body, response);
    return finish(answer.statusCode >= 500 ? "server_error" : "success");
  } catch {
    // The answer has begun: the connection is destroyed, so that the caller sees that it is cut.
    response.destroy();
    if (callerGone.aborted) {
      return finish("cancelled");
    }
    return finish(deadline.aborted ? "timeout" : "truncated");
  }
}

function finishFailed(
  error: unknown,
  deadline: AbortSignal,
  callerGone: AbortSignal,
  finish: (result: targets.CallResult, refusal?: refusals.Refusal) => AttemptResult,
): AttemptResult {
  if (callerGone.aborted) {
    return finish("cancelled");
  }
  if (deadline.aborted) {
    return finish("timeout", { row: refusals.Refusals.deadlineExceeded, run: "unknown" });
  }
  if (isConnectError(error)) {
    return finish(
      "connect_failed",
      refusals.createNotRunRefusal(refusals.Refusals.connectFailed),
    );
  }
  return finish("reset", { row: refusals.Refusals.targetReset, run: "unknown" });
}

/** Whether the error shows that no connection was opened, so that nothing was sent. */
function isConnectError(error: unknown): boolean {
  const { code, syscall } = error as NodeJS.ErrnoException;
  return code === "UND_ERR_CONNECT_TIMEOUT" || syscall === "connect";
}

function hasBody(request: http.IncomingMessage): boolean {
  return request.headers["transfer-encoding"] !== undefined ||
    Number(request.headers["content-length"] ?? 0) > 0;
}

function createForwardedHeaders(
  request: http.IncomingMessage,
  accepted: types.AcceptedRequest,
  leftMilliseconds: number,
): string[] {
  const placement = accepted.snapshot.fleet.keyPlacement;
  const perConnection = listConnectionHeaders(request.headers.connection);
  const forwarded: string[] = [];
  for (let index = 0; index < request.rawHeaders.length; index += 2) {
    const name = request.rawHeaders[index] ?? "";
    const lowerName = name.toLowerCase();
    if (
      HOP_BY_HOP_HEADERS.has(lowerName) || perConnection.has(lowerName) ||
      lowerName === "expect" || keys.isRemovedHeader(lowerName, placement)
    ) {
      continue;
    }
    const value = request.rawHeaders[index + 1] ?? "";
    const kept = lowerName === "cookie" ? keys.removeCookieKey(value, placement.cookie) : value;
    if (kept !== undefined) {
      forwarded.push(name, kept);
    }
  }
  forwarded.push(DEADLINE_HEADER, String(Math.max(0, Math.floor(leftMilliseconds))));
  if (accepted.workspace !== undefined) {
    forwarded.push(WORKSPACE_HEADER, accepted.workspace.id);
  }
  return forwarded;
}

function listConnectionHeaders(connection: string | undefined): Set<string> {
  const names = (connection ?? "").split(",").map((name) => name.trim().toLowerCase());
  return new Set(names);
}

function copyHead(answer: undici.Dispatcher.ResponseData, response: http.ServerResponse): void {
  response.statusCode = answer.statusCode;
  const perConnection = listConnectionHeaders(String(answer.headers["connection"] ?? ""));
  for (const [name, value] of Object.entries(answer.headers)) {
    const removed = HOP_BY_HOP_HEADERS.has(name) || perConnection.has(name) ||
      name.startsWith(keys.OWN_HEADER_PREFIX);
    if (value !== undefined && !removed) {
      response.setHeader(name, value);
    }
  }
}
