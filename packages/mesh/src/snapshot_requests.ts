/**
 * Requests snapshots of the state that this VM lacks, each from one VM at a time.
 *
 * Snapshots may be large. A VM that starts opens links to several VMs at once, mostly in other data
 * centres, and each of them would send its snapshots. VMs therefore exchange only digests when a
 * link opens.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as links from "./link.ts";
import type * as types from "./types.ts";

/** Response timeout, after which another VM is asked. A megabyte over 10 Mbit/s takes 0.8 s. */
const RESPONSE_TIMEOUT_MILLISECONDS = 1_200;

/** Time to wait for a link to a VM of this data centre before one of another is asked. */
const LOCAL_WAIT_MILLISECONDS = 40;

interface PendingRequest {
  readonly link: links.Link;
  readonly sentAt: number;
}

/** The snapshot requests of one VM. */
export class SnapshotRequests {
  readonly #states: ReadonlyMap<string, types.ReplicatedState>;
  readonly #links: ReadonlySet<links.Link>;
  readonly #dataCentre: model.DataCentreId;
  readonly #pending = new Map<string, PendingRequest>();
  /** Time at which this VM's copy of a state was found to be incomplete, by name of the state. */
  readonly #missingSince = new Map<string, number>();
  #timer: NodeJS.Timeout | undefined;

  constructor(
    states: ReadonlyMap<string, types.ReplicatedState>,
    openLinks: ReadonlySet<links.Link>,
    dataCentre: model.DataCentreId,
  ) {
    this.#states = states;
    this.#links = openLinks;
    this.#dataCentre = dataCentre;
  }

  get isPending(): boolean {
    return this.#pending.size > 0 || this.#missingSince.size > 0;
  }

  /** Whether a snapshot of a state is missing. */
  isAwaiting(name: string): boolean {
    return this.#missingSince.has(name);
  }

  /** Compares the digests received on all links and requests the missing snapshots. */
  advance(): void {
    for (const [name, { digest: ownDigest }] of this.#states) {
      if (ownDigest !== undefined) {
        this.#advanceState(name, ownDigest);
      }
    }
  }

  /** Records that the snapshot of a state has arrived over a link. */
  complete(link: links.Link, name: string): void {
    link.digests.delete(name);
    if (this.#pending.get(name)?.link === link) {
      this.#pending.delete(name);
    }
    this.advance();
  }

  /** Drops a closed link and asks another VM in its place. */
  drop(link: links.Link): void {
    for (const [name, pending] of this.#pending) {
      if (pending.link === link) {
        this.#pending.delete(name);
      }
    }
    this.advance();
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  #advanceState(name: string, ownDigest: types.StateDigest): void {
    const holders = this.#listHolders(name, ownDigest);
    if (holders.length === 0) {
      this.#missingSince.delete(name);
      this.#pending.delete(name);
      return;
    }
    const now = kernel.getMonotonicMilliseconds();
    const pending = this.#pending.get(name);
    if (pending !== undefined && now - pending.sentAt < RESPONSE_TIMEOUT_MILLISECONDS) {
      return;
    }
    const untried = holders.filter((link) => link !== pending?.link);
    const local = untried.find((link) => link.peer?.dataCentre === this.#dataCentre);
    const since = this.#missingSince.get(name) ?? now;
    this.#missingSince.set(name, since);
    const holder = local ?? (now - since >= LOCAL_WAIT_MILLISECONDS ? untried[0] : undefined);
    if (holder === undefined) {
      this.#timer ??= setTimeout(() => {
        this.#timer = undefined;
        this.advance();
      }, LOCAL_WAIT_MILLISECONDS);
      return;
    }
    this.#pending.set(name, { link: holder, sentAt: now });
    holder.send(links.encode({ kind: "request", feeds: [name] }));
  }

  /** Returns the links to VMs that hold missing state, and discards digests that show none. */
  #listHolders(name: string, ownDigest: types.StateDigest): links.Link[] {
    const holders: links.Link[] = [];
    for (const link of this.#links) {
      const digest = link.digests.get(name);
      if (digest === undefined) {
        continue;
      }
      if (ownDigest.isBehind(digest)) {
        holders.push(link);
      } else {
        link.digests.delete(name);
      }
    }
    return holders;
  }
}
