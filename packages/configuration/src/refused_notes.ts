/**
 * Records refused notes, so that each is reported only once and not parsed again.
 */

import type * as model from "@hemlockwalk/model";
import type * as types from "./types.ts";

const MAXIMUM_NOTES = 64;

/** The most recently refused notes of one VM. */
export class RefusedNotes {
  readonly #notes = new Map<string, types.RefusedNote>();

  /** Whether the text with this digest was refused as the note of this number. */
  has(number: number, digest: model.NoteDigest): boolean {
    return this.#notes.has(getKey(number, digest));
  }

  add(note: types.RefusedNote): void {
    this.#notes.set(getKey(note.number, note.digest), note);
    for (const oldest of this.#notes.keys()) {
      if (this.#notes.size <= MAXIMUM_NOTES) {
        return;
      }
      this.#notes.delete(oldest);
    }
  }

  /** Lists the refused notes above a number: those that block the chain. */
  listAbove(number: number): types.RefusedNote[] {
    return [...this.#notes.values()].filter((note) => note.number > number);
  }
}

function getKey(number: number, digest: model.NoteDigest): string {
  return `${number} ${digest}`;
}
