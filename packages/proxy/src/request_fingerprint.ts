/**
 * Fingerprints of requests, which are the same whenever a caller repeats a request.
 */

import * as crypto from "node:crypto";
import type * as model from "@hemlockwalk/model";
import type * as bodies from "./body.ts";
import type * as types from "./types.ts";

/** Characters of a fingerprint, which hold six bits each. */
const FINGERPRINT_CHARACTERS = 16;

/**
 * Creates the fingerprint of a request: its method, host, path, workspace and body. Of a long body,
 * it covers the part that is buffered.
 *
 * @param host The Host header.
 */
export function createFingerprint(
  request: types.AcceptedRequest,
  host: string | undefined,
  body: bodies.RequestBody,
): model.RequestFingerprint {
  const hash = crypto.createHash("sha256");
  const { method, path, workspace } = request;
  hash.update(JSON.stringify([method, (host ?? "").toLowerCase(), path, workspace ?? null]));
  body.updateHash(hash);
  return hash.digest("base64url").slice(0, FINGERPRINT_CHARACTERS) as model.RequestFingerprint;
}
