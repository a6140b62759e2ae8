/**
 * The texts of the newest notes, kept to serve VMs that missed them.
 */

import * as model from "@hemlockwalk/model";

/** Bytes of all kept texts together. */
const MAXIMUM_BYTES = 4_000_000;

const MAXIMUM_NOTES = 4_096;

/** One kept note. */
export interface KeptNote {
  readonly number: model.NoteNumber;
  readonly digest: model.NoteDigest;
  /** UTF-8, outside the garbage-collected heap. */
  readonly bytes: Buffer;
}

/** A run of notes without gaps that ends with the one in force. */
export class NoteTail {
  readonly #notes = new Map<number, KeptNote>();
  #bytes = 0;

  /** Adds the note that has come into force. */
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

  /** Forgets all notes, after a baseline took their place. */
  clear(): void {
    this.#notes.clear();
    this.#bytes = 0;
  }

  get(number: number): KeptNote | undefined {
    return this.#notes.get(number);
  }

  /**
   * Lists the notes after a given one, as many as fit.
   *
   * @returns Undefined when the first of them is no longer kept.
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
