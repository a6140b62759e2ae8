/**
 * `hemlockctl key new`: creates a caller's key.
 */

import * as crypto from "node:crypto";
import * as model from "@hemlockwalk/model";
import * as citty from "citty";
import * as output from "../output.ts";

const KEY_BYTES = 24;

export const keyNewCommand = citty.defineCommand({
  meta: {
    name: "new",
    description: "Creates a key and prints it once, with its digest for the release note.",
  },
  run() {
    const key = crypto.randomBytes(KEY_BYTES).toString("base64url");
    output.printLine(`key:    ${key}`);
    output.printLine(`digest: ${model.createKeyDigest(key)}`);
  },
});
