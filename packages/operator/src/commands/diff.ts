/**
 * `hemlockctl diff`: shows the differences between two states.
 */

import * as path from "node:path";
import * as configuration from "@hemlockwalk/configuration";
import * as model from "@hemlockwalk/model";
import * as citty from "citty";
import * as chainFolder from "../chain_folder.ts";
import * as declarations from "../declarations.ts";
import * as files from "../files.ts";
import * as output from "../output.ts";
import * as stateDifference from "../state_difference.ts";

/**
 * Reads a state. The argument is the folder of a chain, optionally with the number of the last note
 * to apply (`chain@7`), a folder of declarations, or a note file. A note file yields the entities
 * that the note adds and changes.
 */
function readState(argument: string): declarations.EntityState {
  const [, name = argument, number] = /^(.*?)(?:@(\d+))?$/.exec(argument) ?? [];
  if (!files.isFolder(name)) {
    return readNoteState(argument);
  }
  const isChain = files.isFolder(path.join(name, "notes")) ||
    files.readTextIfExists(path.join(name, "baseline.json")) !== undefined;
  if (!isChain) {
    return declarations.readDeclarations(name);
  }
  const last = number === undefined ? undefined : Number(number);
  return declarations.getState(new chainFolder.ChainFolder(name).load(last));
}

function readNoteState(file: string): declarations.EntityState {
  const note = model.parseReleaseNote(files.readText(file));
  if (note.isErr()) {
    throw output.createFindingsError(file, note.error);
  }
  const state = declarations.createEmptyState();
  for (const section of model.SECTION_NAMES) {
    for (const entity of [...note.value.added[section], ...note.value.changed[section]]) {
      state.tables[section].set(configuration.getEntityId(entity), entity);
    }
  }
  return { ...state, fleet: note.value.fleet };
}

function printDifference(left: string, right: string): void {
  const from = readState(left);
  const difference = stateDifference.compareStates(from, readState(right));
  if (difference.isEmpty) {
    output.printLine("No differences.");
    return;
  }
  stateDifference.formatDifference(difference, from).forEach(output.printLine);
}

export const diffCommand = citty.defineCommand({
  meta: { name: "diff", description: "Shows the differences between two states or notes." },
  args: {
    from: {
      type: "positional",
      required: true,
      description: "Chain folder (optionally chain@7), declarations folder or note file.",
    },
    to: {
      type: "positional",
      required: true,
      description: "State to compare with, in the same forms.",
    },
  },
  run: ({ args }) => output.runCommand(() => printDifference(args.from, args.to)),
});
