/**
 * Tables that are shared by successive configurations.
 *
 * The newest configuration reads its table directly. When a note changes the table, the previous
 * configuration keeps the values that were replaced, and reads all others through its successor. So
 * the cost of a change depends only on its size, and an old configuration is garbage-collected,
 * together with the values it keeps, once no request uses it.
 *
 * A change of any size takes effect in one short step: its values are held in a separate map at
 * first, and are merged into the table in short steps afterwards.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as shardedMap from "./sharded_map.ts";

/** Values by identifier; undefined means that there is no value. */
export type Changes<Id, Value> = ReadonlyMap<Id, Value | undefined>;

/** A table as of one configuration. */
export interface ReadonlyTable<Id, Value> {
  get(id: Id): Value | undefined;
}

interface Successor<Id extends string, Value> {
  /** The values of this view that the next view replaced. */
  readonly replaced: Changes<Id, Value>;
  readonly view: TableView<Id, Value>;
}

/** Changes of a table, and the values that they replace. */
export interface PreparedChanges<Id extends string, Value> {
  readonly changes: Changes<Id, Value>;
  readonly replaced: Changes<Id, Value>;
  /** The difference that the changes make to the size of the table. */
  readonly growth: number;
}

/** Changes that are processed between two yields. */
const CHANGES_PER_STEP = 32;

/** One configuration's view of a shared table. Its contents never change. */
export class TableView<Id extends string, Value> implements ReadonlyTable<Id, Value> {
  readonly size: number;
  readonly #table: shardedMap.EntityMap<Id, Value>;
  /** Changes that have not been merged into the table yet. */
  #pending: Changes<Id, Value> | undefined;
  #successor: Successor<Id, Value> | undefined;

  /** @param table The table, which only this view and its successors may change from now on. */
  constructor(
    table: shardedMap.EntityMap<Id, Value>,
    size = table.size,
    pending?: Changes<Id, Value>,
  ) {
    this.#table = table;
    this.size = size;
    this.#pending = pending;
  }

  /** Whether this view is the newest of its table. */
  get isNewest(): boolean {
    return this.#successor === undefined;
  }

  get(id: Id): Value | undefined {
    let pending = this.#pending;
    let successor = this.#successor;
    while (successor !== undefined) {
      if (successor.replaced.has(id)) {
        return successor.replaced.get(id);
      }
      pending = successor.view.#pending;
      successor = successor.view.#successor;
    }
    return pending?.has(id) ? pending.get(id) : this.#table.get(id);
  }

  /** Lists all values shard by shard, rather than in the order of their insertion. */
  *values(): Generator<Value> {
    for (let shard = 0; shard < shardedMap.SHARD_COUNT; shard++) {
      yield* this.copyShard(shard).values();
    }
  }

  /** Copies one shard as of this view, even if later notes have changed the table. */
  copyShard(shard: number): Map<Id, Value> {
    const copy = this.#table.copyShard(shard);
    const layers: Changes<Id, Value>[] = [];
    let pending = this.#pending;
    let successor = this.#successor;
    while (successor !== undefined) {
      layers.push(successor.replaced);
      pending = successor.view.#pending;
      successor = successor.view.#successor;
    }
    if (pending !== undefined) {
      layers.push(pending);
    }
    for (const changes of layers.reverse()) {
      for (const [id, value] of changes) {
        if (shardedMap.getShardIndex(id) === shard) {
          setOrDelete(copy, id, value);
        }
      }
    }
    return copy;
  }

  /** Collects the values that the changes replace, in short steps. */
  *prepareInSteps(
    changes: Changes<Id, Value>,
  ): Generator<void, PreparedChanges<Id, Value>> {
    kernel.assert(this.isNewest, "Only the newest view of a table accepts changes.");
    kernel.assert(this.#pending === undefined, "Earlier changes have been merged into the table.");
    const replaced = new Map<Id, Value | undefined>();
    let growth = 0;
    for (const [id, value] of changes) {
      const before = this.#table.get(id);
      replaced.set(id, before);
      growth += Number(value !== undefined) - Number(before !== undefined);
      if (replaced.size % CHANGES_PER_STEP === 0) {
        yield;
      }
    }
    return { changes, replaced, growth };
  }

  /** Commits changes that were prepared for this view, and returns the next view. */
  commit(prepared: PreparedChanges<Id, Value>): TableView<Id, Value> {
    const { changes, replaced, growth } = prepared;
    kernel.assert(this.isNewest, "Only the newest view of a table accepts changes.");
    if (changes.size === 0) {
      return this;
    }
    const view = new TableView(this.#table, this.size + growth, changes);
    this.#successor = { replaced, view };
    return view;
  }

  /** Merges the changes of the newest view into the table, in short steps. */
  *mergePendingInSteps(): Generator<void, void> {
    let count = 0;
    for (const [id, value] of this.#pending ?? []) {
      setOrDelete(this.#table, id, value);
      count++;
      if (count % CHANGES_PER_STEP === 0) {
        yield;
      }
    }
    this.#pending = undefined;
  }
}

/** A view with uncommitted changes on top. */
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
