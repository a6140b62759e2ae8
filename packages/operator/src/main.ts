#!/usr/bin/env node
/**
 * The binary `hemlockctl`: the command-line tool for operators.
 */

import * as citty from "citty";
import * as check from "./commands/check.ts";
import * as compact from "./commands/compact.ts";
import * as diff from "./commands/diff.ts";
import * as evacuations from "./commands/evacuations.ts";
import * as explain from "./commands/explain.ts";
import * as explainPlacement from "./commands/explain_placement.ts";
import * as explainRequest from "./commands/explain_request.ts";
import * as keyNew from "./commands/key_new.ts";
import * as noteNew from "./commands/note_new.ts";
import * as status from "./commands/status.ts";
import * as verify from "./commands/verify.ts";

const VERSION = "0.1.0";

const keyCommand = citty.defineCommand({
  meta: { name: "key", description: "Manages callers' keys." },
  subCommands: { new: keyNew.keyNewCommand },
});

const noteCommand = citty.defineCommand({
  meta: { name: "note", description: "Manages release notes." },
  subCommands: { new: noteNew.noteNewCommand },
});

const mainCommand = citty.defineCommand({
  meta: {
    name: "hemlockctl",
    version: VERSION,
    description: "Command-line tool for hemlockwalk operators.",
  },
  subCommands: {
    check: check.checkCommand,
    compact: compact.compactCommand,
    diff: diff.diffCommand,
    evacuations: evacuations.evacuationsCommand,
    explain: explain.explainCommand,
    "explain-placement": explainPlacement.explainPlacementCommand,
    "explain-request": explainRequest.explainRequestCommand,
    key: keyCommand,
    note: noteCommand,
    status: status.statusCommand,
    verify: verify.verifyCommand,
  },
});

await citty.runMain(mainCommand);
