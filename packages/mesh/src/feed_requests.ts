/**
 * Asks other VMs for what this one lacks, each thing of one VM at a time.
 *
 * State may be large: a VM that starts meets several others at once and would be sent everything by
 * each of them, mostly from other data centres. So VMs only compare marks when they meet.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as links from "./link.ts";
import type * as types from "./types.ts";

/** Another VM is asked after so long without an answer. A megabyte over 10 Mbit/s takes 0.8 s. */
const ANSWER_MILLISECONDS = 1_200;

/** A VM of another data centre is asked only when none of this one was met within this time. */
const NEAR_MILLISECONDS = 40;

interface PendingRequest {
  readonly link: links.Link;
  readonly sentAt: number;
}

/** The requests of one VM. */
export class FeedRequests {
  readonly #feeds: ReadonlyMap<string, types.Feed>;
  readonly #links: ReadonlySet<links.Link>;
  readonly #dataCentre: model.DataCentreId;
  readonly #pending = new Map<string, PendingRequest>();
  /** When it was first found that something is missing. */
  readonly #missingSince = new Map<string, number>();
  #timer: NodeJS.Timeout | undefined;

  constructor(
    feeds: ReadonlyMap<string, types.Feed>,
    openLinks: ReadonlySet<links.Link>,
    dataCentre: model.DataCentreId,
  ) {
    this.#feeds = feeds;
    this.#links = openLinks;
    this.#dataCentre = dataCentre;
  }

  get isPending(): boolean {
    return this.#pending.size > 0 || this.#missingSince.size > 0;
  }

  /** Compares the marks of all links and asks for what is missing. */
  advance(): void {
    for (const [name, { marks }] of this.#feeds) {
      if (marks !== undefined) {
        this.#advanceFeed(name, marks);
      }
    }
  }

  /** Notes that everything of a feed has come over a link. */
  end(link: links.Link, feed: string): void {
    link.marks.delete(feed);
    if (this.#pending.get(feed)?.link === link) {
      this.#pending.delete(feed);
    }
    this.advance();
  }

  /** Forgets a link that has closed; another VM is asked in place of it. */
  drop(link: links.Link): void {
    for (const [feed, pending] of this.#pending) {
      if (pending.link === link) {
        this.#pending.delete(feed);
      }
    }
    this.advance();
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  #advanceFeed(name: string, marks: types.FeedMarks): void {
    const holders = this.#listHolders(name, marks);
    if (holders.length === 0) {
      this.#missingSince.delete(name);
      this.#pending.delete(name);
      return;
    }
    const now = kernel.getMonotonicMilliseconds();
    const pending = this.#pending.get(name);
    if (pending !== undefined && now - pending.sentAt < ANSWER_MILLISECONDS) {
      return;
    }
    const untried = holders.filter((link) => link !== pending?.link);
    const near = untried.find((link) => link.peer?.dataCentre === this.#dataCentre);
    const since = this.#missingSince.get(name) ?? now;
    this.#missingSince.set(name, since);
    const holder = near ?? (now - since >= NEAR_MILLISECONDS ? untried[0] : undefined);
    if (holder === undefined) {
      this.#timer ??= setTimeout(() => {
        this.#timer = undefined;
        this.advance();
      }, NEAR_MILLISECONDS);
      return;
    }
    this.#pending.set(name, { link: holder, sentAt: now });
    holder.send(links.encode({ kind: "request", feeds: [name] }));
  }

  /** Links to VMs that hold what is missing here. Marks that say nothing new are done with. */
  #listHolders(name: string, marks: types.FeedMarks): links.Link[] {
    const holders: links.Link[] = [];
    for (const link of this.#links) {
      const mark = link.marks.get(name);
      if (mark === undefined) {
        continue;
      }
      if (marks.isBehind(mark)) {
        holders.push(link);
      } else {
        link.marks.delete(name);
      }
    }
    return holders;
  }
}
