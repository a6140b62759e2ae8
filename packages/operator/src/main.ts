#!/usr/bin/env node
/**
 * The binary `hemlockctl`: the operators' tool.
 */

import * as crypto from "node:crypto";
import * as fs from "node:fs";
import process from "node:process";
import * as model from "@hemlockwalk/model";
import * as citty from "citty";

const VERSION = "0.1.0";
const EXIT_INVALID = 2;
const KEY_BYTES = 24;

const checkCommand = citty.defineCommand({
  meta: { name: "check", description: "Checks a release note by itself." },
  args: { note: { type: "positional", required: true, description: "Release note file." } },
  run({ args }) {
    const note = model.parseReleaseNote(fs.readFileSync(args.note, "utf8"));
    if (note.isOk()) {
      process.stdout.write(`${args.note}: note ${note.value.number}, no findings\n`);
      return;
    }
    for (const diagnostic of note.error) {
      process.stderr.write(`${model.formatDiagnostic(args.note, diagnostic)}\n`);
    }
    process.exitCode = EXIT_INVALID;
  },
});

const keyNewCommand = citty.defineCommand({
  meta: { name: "new", description: "Makes a key; prints it once, with its digest for the note." },
  run() {
    const key = crypto.randomBytes(KEY_BYTES).toString("base64url");
    process.stdout.write(`key:    ${key}\ndigest: ${model.createKeyDigest(key)}\n`);
  },
});

const keyCommand = citty.defineCommand({
  meta: { name: "key", description: "Keys of callers." },
  subCommands: { new: keyNewCommand },
});

const mainCommand = citty.defineCommand({
  meta: { name: "hemlockctl", version: VERSION, description: "Tool of hemlockwalk's operators." },
  subCommands: { check: checkCommand, key: keyCommand },
});

await citty.runMain(mainCommand);
