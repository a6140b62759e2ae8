/**
 * `hemlockctl check`: validates a release note, either alone or against the chain that it extends.
 */

import * as configuration from "@hemlockwalk/configuration";
import * as model from "@hemlockwalk/model";
import * as citty from "citty";
import * as chainFolder from "../chain_folder.ts";
import * as files from "../files.ts";
import * as output from "../output.ts";

function checkNote(file: string, chain: string | undefined): void {
  const text = files.readText(file);
  const note = model.parseReleaseNote(text);
  if (note.isErr()) {
    throw output.createFindingsError(file, note.error);
  }
  const { number } = note.value;
  if (chain !== undefined) {
    const previous = number - 1;
    const state = previous === 0 ? undefined : new chainFolder.ChainFolder(chain).load(previous);
    const applied = configuration.applyNoteText(state, text);
    if (applied.isErr()) {
      throw output.createFindingsError(file, applied.error.diagnostics);
    }
  }
  output.printLine(`${file}: note ${number}, no findings`);
}

export const checkCommand = citty.defineCommand({
  meta: { name: "check", description: "Validates a release note." },
  args: {
    note: { type: "positional", required: true, description: "Release note file." },
    chain: { type: "string", description: "Folder of the chain that the note extends." },
  },
  run: ({ args }) => output.runCommand(() => checkNote(args.note, args.chain)),
});
