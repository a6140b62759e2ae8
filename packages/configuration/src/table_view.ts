/**
 * Tables that many configurations share.
 *
 * The newest configuration reads its table directly. When a note changes the table, the
 * configuration before it keeps the few values that were replaced, and reads the rest through its
 * successor. So a change costs only what it touches, and an old configuration that no request holds
 * any more is collected with what it kept.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as shardedMap from "./sharded_map.ts";

/** Values by identifier; undefined stands for a value that does not exist. */
export type Changes<Id, Value> = ReadonlyMap<Id, Value | undefined>;

/** A table as it is in one configuration. */
export interface ReadonlyTable<Id, Value> {
  get(id: Id): Value | undefined;
}

interface Successor<Id extends string, Value> {
  /** The values of this view that the next one does not have. */
  readonly replaced: Changes<Id, Value>;
  readonly view: TableView<Id, Value>;
}

/** One configuration's view of a shared table. It never changes. */
export class TableView<Id extends string, Value> implements ReadonlyTable<Id, Value> {
  readonly size: number;
  readonly #newest: shardedMap.EntityMap<Id, Value>;
  #successor: Successor<Id, Value> | undefined;

  /** @param newest The table, which only this view and its successors change from now on. */
  constructor(newest: shardedMap.EntityMap<Id, Value>) {
    this.#newest = newest;
    this.size = newest.size;
  }

  /** Whether this view is the newest of its table. */
  get isNewest(): boolean {
    return this.#successor === undefined;
  }

  get(id: Id): Value | undefined {
    let successor = this.#successor;
    while (successor !== undefined) {
      if (successor.replaced.has(id)) {
        return successor.replaced.get(id);
      }
      successor = successor.view.#successor;
    }
    return this.#newest.get(id);
  }

  /** Lists all values, in an order that holds nothing of the history. */
  *values(): Generator<Value> {
    for (let shard = 0; shard < shardedMap.SHARD_COUNT; shard++) {
      yield* this.copyShard(shard).values();
    }
  }

  /** Copies one part as it is in this view, also when later notes have changed the table. */
  copyShard(shard: number): Map<Id, Value> {
    const copy = this.#newest.copyShard(shard);
    const replaced: Changes<Id, Value>[] = [];
    let successor = this.#successor;
    while (successor !== undefined) {
      replaced.push(successor.replaced);
      successor = successor.view.#successor;
    }
    for (const changes of replaced.reverse()) {
      for (const [id, value] of changes) {
        if (shardedMap.getShardIndex(id) === shard) {
          setOrDelete(copy, id, value);
        }
      }
    }
    return copy;
  }

  /** Puts changes into the table and returns the view after them. */
  commit(changes: Changes<Id, Value>): TableView<Id, Value> {
    kernel.assert(this.isNewest, "Only the newest view of a table takes changes.");
    if (changes.size === 0) {
      return this;
    }
    const replaced = new Map<Id, Value | undefined>();
    for (const [id, value] of changes) {
      replaced.set(id, this.#newest.get(id));
      setOrDelete(this.#newest, id, value);
    }
    const view = new TableView(this.#newest);
    this.#successor = { replaced, view };
    return view;
  }
}

/** A view with changes that are not yet committed. */
export class StagedTable<Id extends string, Value> implements ReadonlyTable<Id, Value> {
  readonly changes = new Map<Id, Value | undefined>();
  readonly #view: ReadonlyTable<Id, Value>;

  constructor(view: ReadonlyTable<Id, Value>) {
    this.#view = view;
  }

  get(id: Id): Value | undefined {
    return this.changes.has(id) ? this.changes.get(id) : this.#view.get(id);
  }

  has(id: Id): boolean {
    return this.get(id) !== undefined;
  }

  set(id: Id, value: Value | undefined): void {
    this.changes.set(id, value);
  }
}

function setOrDelete<Id, Value>(
  map: { set(id: Id, value: Value): unknown; delete(id: Id): unknown },
  id: Id,
  value: Value | undefined,
): void {
  if (value === undefined) {
    map.delete(id);
  } else {
    map.set(id, value);
  }
}
