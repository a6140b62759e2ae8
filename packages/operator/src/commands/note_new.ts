/**
 * `hemlockctl note new`: writes the note that changes the state of a chain into the declared state.
 */

import * as configuration from "@hemlockwalk/configuration";
import * as citty from "citty";
import * as chainFolder from "../chain_folder.ts";
import * as declarations from "../declarations.ts";
import * as noteWriting from "../note_writing.ts";
import * as output from "../output.ts";
import * as stateDifference from "../state_difference.ts";

function createNotes(chain: string, folder: string, title: string, isDryRun: boolean): void {
  const published = new chainFolder.ChainFolder(chain);
  const current = published.load();
  const from = declarations.getState(current);
  const to = declarations.readDeclarations(folder);
  // If the folder does not declare the fleet, the fleet stays unchanged.
  const declared = { ...to, fleet: to.fleet ?? from.fleet };
  const difference = stateDifference.compareStates(from, declared);
  if (difference.isEmpty) {
    output.printLine("No changes.");
    return;
  }
  const notes = noteWriting.writeNotes(current, difference, title);
  checkNotes(published, current, notes);
  stateDifference.formatDifference(difference, from).forEach(output.printNotice);
  for (const { number, text } of notes) {
    if (isDryRun) {
      output.printLine(text.trimEnd());
    } else {
      published.writeNote(number, text);
      output.printLine(`${published.getNoteFile(number)}: written`);
    }
  }
}

/** Checks that the notes apply to the chain, before any of them is written. */
function checkNotes(
  published: chainFolder.ChainFolder,
  current: configuration.TableSnapshot | undefined,
  notes: readonly noteWriting.WrittenNote[],
): void {
  let snapshot = current;
  for (const { number, text } of notes) {
    const next = configuration.applyNoteText(snapshot, text);
    if (next.isErr()) {
      const file = published.getNoteFile(number);
      throw output.createFindingsError(file, next.error.diagnostics);
    }
    snapshot = next.value;
  }
}

export const noteNewCommand = citty.defineCommand({
  meta: { name: "new", description: "Writes the next note of a chain from declarations." },
  args: {
    chain: { type: "positional", required: true, description: "Folder of the chain." },
    declarations: {
      type: "positional",
      required: true,
      description: "Folder of the declared state.",
    },
    title: { type: "string", default: "", description: "Title of the note." },
    dry: { type: "boolean", default: false, description: "Prints the note without writing it." },
  },
  run: ({ args }) =>
    output.runCommand(() => createNotes(args.chain, args.declarations, args.title, args.dry)),
});
