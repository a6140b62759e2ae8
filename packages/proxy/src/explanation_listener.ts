/**
 * Responds to queries of operators about where a request would be sent. Part of the listener that
 * serves the metrics; off unless the operators' options switch it on.
 */

import type * as http from "node:http";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import * as zod from "zod/mini";
import type * as explanations from "./placement_explanation.ts";

/** Path of the queries. */
export const EXPLANATION_PATH = "/explain-placement";

/**
 * Header of a query with the caller's key. A key in the path or in the body would appear in the logs
 * of tools between the operator and the VM.
 */
export const EXPLANATION_KEY_HEADER = "hemlockwalk-key";

/** Explanations within a second. Each costs about as much as the placement of two requests. */
const MAX_PER_SECOND = 10;

const MAX_QUERY_BYTES = 65_536;

/** The header that states a deadline has at most 12 digits. */
const MAX_DEADLINE_MILLISECONDS = 999_999_999_999;

/** Created with the listener, so that a VM without it does not spend time on it at its start. */
function createQuerySchema() {
  return zod.strictObject({
    method: zod.string().check(zod.regex(/^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/, "Expected a method")),
    host: zod.string().check(zod.regex(/^[\x21-\x7e]+$/, "Expected a host")),
    path: zod.string().check(zod.regex(/^\/[\x21-\x7e]*$/, "Expected a path that begins with '/'")),
    workspace: zod.optional(zod.string().check(zod.minLength(1, "Expected a workspace"))),
    deadlineMilliseconds: zod.optional(
      zod.int("Expected whole milliseconds").check(
        zod.nonnegative("Expected no negative time"),
        zod.maximum(MAX_DEADLINE_MILLISECONDS, "Expected at most 12 digits"),
      ),
    ),
  });
}

/** HTTP status of an error; 422 for the others, which concern the request that is described. */
const STATUSES: ReadonlyMap<number, number> = new Map([
  [model.ExplanationDiagnostics.vmStarting.code, 503],
  [model.ExplanationDiagnostics.off.code, 404],
  [model.ExplanationDiagnostics.tooMany.code, 429],
  [model.ExplanationDiagnostics.queryInvalid.code, 400],
]);

/** Settings of the queries. */
export interface ExplanationOptions {
  /** Whether the operators' options allow explanations now. */
  readonly isEnabled: () => boolean;
  readonly explain: (
    query: explanations.PlacementQuery,
  ) => neverthrow.Result<explanations.PlacementExplanation, model.Diagnostic>;
}

/** Creates the listener for requests to `EXPLANATION_PATH`. */
export function createExplanationListener(options: ExplanationOptions): http.RequestListener {
  const schema = createQuerySchema();
  const allowance = new ExplanationAllowance();
  return (request, response) => {
    const refusal = !options.isEnabled()
      ? model.createDiagnostic(model.ExplanationDiagnostics.off, [])
      : !allowance.take()
      ? model.createDiagnostic(model.ExplanationDiagnostics.tooMany, [MAX_PER_SECOND])
      : undefined;
    if (refusal !== undefined) {
      respondError(response, refusal);
      request.resume();
      return;
    }
    readText(request).then((text) => {
      const key = request.headers[EXPLANATION_KEY_HEADER];
      const explained = decodeQuery(schema, request.method, text, key).andThen(options.explain);
      if (explained.isErr()) {
        respondError(response, explained.error);
      } else {
        respond(response, 200, explained.value);
      }
    }).catch(() => response.destroy());
  };
}

/** Limits the explanations in any second. */
class ExplanationAllowance {
  #takenAt: number[] = [];

  take(): boolean {
    const now = kernel.getMonotonicMilliseconds();
    this.#takenAt = this.#takenAt.filter((at) => at > now - 1_000);
    const isAllowed = this.#takenAt.length < MAX_PER_SECOND;
    if (isAllowed) {
      this.#takenAt.push(now);
    }
    return isAllowed;
  }
}

/** Reads the body of a query; undefined if it is too long. */
async function readText(request: http.IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes <= MAX_QUERY_BYTES) {
      chunks.push(chunk);
    }
  }
  return bytes > MAX_QUERY_BYTES ? undefined : Buffer.concat(chunks).toString("utf8");
}

function decodeQuery(
  schema: ReturnType<typeof createQuerySchema>,
  method: string | undefined,
  text: string | undefined,
  key: string | string[] | undefined,
): neverthrow.Result<explanations.PlacementQuery, model.Diagnostic> {
  if (method !== "POST" || text === undefined) {
    return createInvalid(`Expected POST with at most ${MAX_QUERY_BYTES} bytes`);
  }
  let document: unknown;
  try {
    document = JSON.parse(text);
  } catch {
    // The text of the error would repeat a part of the query.
    return createInvalid("Expected JSON");
  }
  const parsed = zod.safeParse(schema, document);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    return createInvalid(`${issue?.path.join(".") ?? ""}: ${issue?.message ?? ""}`);
  }
  const { workspace, deadlineMilliseconds, ...request } = parsed.data;
  return neverthrow.ok({
    ...request,
    workspace,
    deadlineMilliseconds,
    key: typeof key === "string" ? key : undefined,
  });
}

function createInvalid(detail: string): neverthrow.Result<never, model.Diagnostic> {
  return neverthrow.err(
    model.createDiagnostic(model.ExplanationDiagnostics.queryInvalid, [detail]),
  );
}

function respondError(response: http.ServerResponse, { code, text }: model.Diagnostic): void {
  respond(response, STATUSES.get(code) ?? 422, { error: { code, text } });
}

function respond(response: http.ServerResponse, status: number, document: unknown): void {
  const body = JSON.stringify(document);
  response.writeHead(status, {
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(body),
  });
  response.end(body);
}
