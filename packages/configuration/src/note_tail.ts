/**
 * Keeps the texts of the newest notes, to serve them to VMs that missed them.
 */

import * as model from "@hemlockwalk/model";

/** Maximum total size of the kept texts. */
const MAXIMUM_BYTES = 4_000_000;

const MAXIMUM_NOTES = 4_096;

/** A note that is kept. */
export interface KeptNote {
  readonly number: model.NoteNumber;
  readonly digest: model.NoteDigest;
  /** The text in UTF-8, stored outside the garbage-collected heap. */
  readonly bytes: Buffer;
}

/** A contiguous sequence of notes that ends with the one in force. */
export class NoteTail {
  readonly #notes = new Map<number, KeptNote>();
  #bytes = 0;

  /** Appends the note that has come into force. */
  add(number: model.NoteNumber, digest: model.NoteDigest, text: string): void {
    const bytes = Buffer.from(text);
    this.#notes.set(number, { number, digest, bytes });
    this.#bytes += bytes.length;
    for (const [oldest, note] of this.#notes) {
      const isWithin = this.#bytes <= MAXIMUM_BYTES && this.#notes.size <= MAXIMUM_NOTES;
      if (isWithin || oldest === number) {
        return;
      }
      this.#notes.delete(oldest);
      this.#bytes -= note.bytes.length;
    }
  }

  /** Drops all notes, after a baseline has replaced them. */
  clear(): void {
    this.#notes.clear();
    this.#bytes = 0;
  }

  get(number: number): KeptNote | undefined {
    return this.#notes.get(number);
  }

  /**
   * Lists the notes after the given number up to a total size, but at least one.
   *
   * @returns Undefined if the first of these notes is not kept.
   */
  listAfter(number: number, maximumBytes: number): KeptNote[] | undefined {
    const notes: KeptNote[] = [];
    let bytes = 0;
    for (let next = this.#notes.get(number + 1); next !== undefined;) {
      bytes += next.bytes.length;
      if (notes.length > 0 && bytes > maximumBytes) {
        break;
      }
      notes.push(next);
      next = this.#notes.get(next.number + 1);
    }
    return notes.length === 0 ? undefined : notes;
  }
}
