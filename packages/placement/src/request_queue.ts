/**
 * A queue of requests that wait for a slot, ordered by priority and shared fairly by workspaces.
 *
 * Designed for short periods with more requests than slots. A request that waits here can still be
 * overtaken by one of higher priority, and be refused as not run; neither is possible once it waits
 * at a target. No request waits longer than is of use to its caller.
 *
 * Among requests of the same priority, the workspaces take turns, so that one which sends many times
 * its usual load delays its own requests and not those of the others. A workspace whose first
 * request arrives while others wait starts level with the one that has had the fewest turns: it does
 * not make up for the time in which it asked for nothing.
 */

import * as kernel from "@hemlockwalk/kernel";

/** How often the queue is processed when no call has ended on this VM; other VMs free slots too. */
const POLL_MILLISECONDS = 25;

/** Time over which the pace of placements is measured. */
const PACE_MILLISECONDS = 2_000;

/** Shortest time from which a pace is derived; a single placement says little about a shorter one. */
const MIN_PACE_MILLISECONDS = 250;

/** A request in the queue. */
export interface QueuedRequest {
  /** Priority; 0 is the highest. */
  readonly priority: number;
  /** Workspace for which it runs; undefined on a public route. All of these share one turn. */
  readonly workspace?: string | undefined;
  /** Whether the request accepts any target, since it has not tried one yet. */
  readonly acceptsAnyTarget: boolean;
  /** Monotonic time until which the request may wait, in milliseconds. */
  readonly waitUntil: number;
  /**
   * Places the request if a target has a free slot. Returns whether it did, or that the request is
   * refused and need not wait any more.
   */
  tryPlace(): boolean | "refused";
  /** Called once if the request was not placed in time. */
  onTimeout(): void;
}

/** The queue of one service. */
export class RequestQueue {
  /** By priority, then by arrival. */
  readonly #requests: QueuedRequest[] = [];
  /** Turns that each workspace has had since the queue was last empty. */
  readonly #turns = new Map<string | undefined, number>();
  /** Monotonic times of the placements within the time over which the pace is measured. */
  #placedAt: number[] = [];
  /** Monotonic time since which requests have been waiting, in milliseconds. */
  #busySince = 0;
  #timer: NodeJS.Timeout | undefined;

  get length(): number {
    return this.#requests.length;
  }

  /** Number of queued requests that are placed before a new one of a priority and workspace. */
  countAhead(priority: number, workspace?: string): number {
    const turn = this.#getFirstTurn(workspace) +
      this.#requests.filter((request) => request.workspace === workspace).length;
    return this.#rank().filter((other) =>
      other.request.priority < priority ||
      (other.request.priority === priority && other.turn <= turn)
    ).length;
  }

  /**
   * Time until a request of a priority and workspace would have a slot if it arrived now, in
   * milliseconds, at the pace of the latest placements; undefined while none have been placed.
   */
  estimateWait(priority: number, workspace?: string): number | undefined {
    const now = kernel.getMonotonicMilliseconds();
    this.#placedAt = this.#placedAt.filter((at) => at > now - PACE_MILLISECONDS);
    if (this.#placedAt.length === 0) {
      return undefined;
    }
    const measured = Math.min(now - this.#busySince, PACE_MILLISECONDS);
    const interval = Math.max(measured, MIN_PACE_MILLISECONDS) / this.#placedAt.length;
    return (this.countAhead(priority, workspace) + 1) * interval;
  }

  add(request: QueuedRequest): void {
    if (this.#requests.length === 0) {
      this.#busySince = kernel.getMonotonicMilliseconds();
      this.#placedAt = [];
    }
    this.#turns.set(request.workspace, this.#getFirstTurn(request.workspace));
    const index = this.#requests.findIndex((other) => other.priority > request.priority);
    this.#requests.splice(index < 0 ? this.#requests.length : index, 0, request);
    this.#timer ??= setInterval(() => this.advance(), POLL_MILLISECONDS);
  }

  remove(request: QueuedRequest): void {
    const index = this.#requests.indexOf(request);
    if (index >= 0) {
      this.#requests.splice(index, 1);
    }
    this.#stopWhenEmpty();
  }

  includes(request: QueuedRequest): boolean {
    return this.#requests.includes(request);
  }

  /** Places the requests that can be placed and removes those whose time is over. */
  advance(): void {
    const now = kernel.getMonotonicMilliseconds();
    // If no target has room for a request that accepts any, none has room for those behind it.
    let isFull = false;
    for (const { request } of this.#rank()) {
      const outcome = !isFull && request.tryPlace();
      if (outcome !== false) {
        this.remove(request);
        if (outcome === true) {
          this.#turns.set(request.workspace, this.#getTurns(request.workspace) + 1);
          this.#placedAt.push(now);
        }
        continue;
      }
      isFull ||= request.acceptsAnyTarget;
      if (now >= request.waitUntil) {
        this.remove(request);
        request.onTimeout();
      }
    }
    this.#stopWhenEmpty();
  }

  /** The requests with their turns: by priority, then in turns of the workspaces, then by arrival. */
  #rank(): { readonly request: QueuedRequest; readonly turn: number }[] {
    const waitingByWorkspace = new Map<string | undefined, number>();
    const ranked = this.#requests.map((request) => {
      const { workspace } = request;
      const waiting = waitingByWorkspace.get(workspace) ?? 0;
      waitingByWorkspace.set(workspace, waiting + 1);
      return { request, turn: this.#getTurns(workspace) + waiting };
    });
    return ranked.sort((left, right) =>
      left.request.priority - right.request.priority || left.turn - right.turn
    );
  }

  #getTurns(workspace: string | undefined): number {
    return this.#turns.get(workspace) ?? 0;
  }

  /** The turn with which the first waiting request of a workspace begins. */
  #getFirstTurn(workspace: string | undefined): number {
    const turns = this.#getTurns(workspace);
    const waiting = this.#requests.map((request) => request.workspace);
    if (waiting.length === 0 || waiting.includes(workspace)) {
      return turns;
    }
    return Math.max(turns, Math.min(...waiting.map((other) => this.#getTurns(other))));
  }

  #stopWhenEmpty(): void {
    if (this.#requests.length === 0) {
      this.#turns.clear();
      clearInterval(this.#timer);
      this.#timer = undefined;
    }
  }
}
