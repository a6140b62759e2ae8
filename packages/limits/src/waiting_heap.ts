/**
 * A binary heap whose entries store their index, so that any entry can be removed in logarithmic
 * time.
 */

import * as kernel from "@hemlockwalk/kernel";

/** An entry of a heap. */
export interface HeapEntry {
  /** Index in the heap; -1 when the entry is not in the heap. Only the heap changes it. */
  heapIndex: number;
}

/** Orders entries; the least one comes first. */
export class WaitingHeap<Entry extends HeapEntry> {
  readonly #entries: Entry[] = [];
  readonly #isBefore: (left: Entry, right: Entry) => boolean;

  constructor(isBefore: (left: Entry, right: Entry) => boolean) {
    this.#isBefore = isBefore;
  }

  get size(): number {
    return this.#entries.length;
  }

  /** The least entry; undefined when the heap is empty. */
  peek(): Entry | undefined {
    return this.#entries[0];
  }

  add(entry: Entry): void {
    this.#place(entry, this.#entries.length);
    this.#moveUp(entry);
  }

  /** Removes an entry that is in the heap. */
  remove(entry: Entry): void {
    const index = entry.heapIndex;
    kernel.assert(this.#entries[index] === entry, "The entry is in the heap.");
    const last = kernel.getDefined(this.#entries.pop(), "The heap is not empty.");
    entry.heapIndex = -1;
    if (last !== entry) {
      this.#place(last, index);
      this.#moveUp(last);
      this.#moveDown(last);
    }
  }

  /** Restores the heap order after the order of an entry has changed. */
  update(entry: Entry): void {
    this.#moveUp(entry);
    this.#moveDown(entry);
  }

  #place(entry: Entry, index: number): void {
    this.#entries[index] = entry;
    entry.heapIndex = index;
  }

  #moveUp(entry: Entry): void {
    while (entry.heapIndex > 0) {
      const index = entry.heapIndex;
      const parentIndex = (index - 1) >> 1;
      const parent = kernel.getDefined(this.#entries[parentIndex], "A parent exists.");
      if (!this.#isBefore(entry, parent)) {
        return;
      }
      this.#place(parent, index);
      this.#place(entry, parentIndex);
    }
  }

  #moveDown(entry: Entry): void {
    for (;;) {
      const child = this.#findLeastChild(entry.heapIndex);
      if (child === undefined || !this.#isBefore(child, entry)) {
        return;
      }
      const index = entry.heapIndex;
      const childIndex = child.heapIndex;
      this.#place(child, index);
      this.#place(entry, childIndex);
    }
  }

  #findLeastChild(index: number): Entry | undefined {
    const left = this.#entries[2 * index + 1];
    const right = this.#entries[2 * index + 2];
    if (left === undefined || right === undefined) {
      return left;
    }
    return this.#isBefore(right, left) ? right : left;
  }
}
