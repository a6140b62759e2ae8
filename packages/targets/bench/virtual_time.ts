/**
 * Virtual time for simulations: replaces the runtime's monotonic clock and timers with an event
 * queue.
 */

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** A queue of events in the order of their times. */
export class VirtualTime {
  readonly #heap: Event[] = [];
  #now = 1_000;
  #order = 0;

  /** Replaces the process's monotonic clock and `setTimeout`. */
  install(): void {
    performance.now = () => this.#now;
    const schedule = (run: () => void, milliseconds = 0) => {
      this.schedule(this.#now + milliseconds, run);
      return 0;
    };
    globalThis.setTimeout = schedule as unknown as typeof setTimeout;
  }

  get now(): number {
    return this.#now;
  }

  schedule(at: number, run: () => void): void {
    this.#order++;
    const event = { at, order: this.#order, run };
    const heap = this.#heap;
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, heap[parent])) {
        break;
      }
      swap(heap, index, parent);
      index = parent;
    }
  }

  /** Runs all events up to the given time. */
  runUntil(end: number): void {
    for (;;) {
      const event = this.#heap[0];
      if (event === undefined || event.at > end) {
        break;
      }
      this.#removeFirst();
      this.#now = Math.max(this.#now, event.at);
      event.run();
    }
    this.#now = end;
  }

  #removeFirst(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) {
      return;
    }
    heap[0] = last;
    let index = 0;
    for (;;) {
      let least = index;
      for (const child of [index * 2 + 1, index * 2 + 2]) {
        const candidate = heap[child];
        if (candidate !== undefined && isBefore(candidate, heap[least])) {
          least = child;
        }
      }
      if (least === index) {
        return;
      }
      swap(heap, index, least);
      index = least;
    }
  }
}

function isBefore(left: Event, right: Event | undefined): boolean {
  return right === undefined || left.at < right.at ||
    (left.at === right.at && left.order < right.order);
}

function swap(heap: Event[], left: number, right: number): void {
  const first = heap[left];
  const second = heap[right];
  if (first !== undefined && second !== undefined) {
    heap[left] = second;
    heap[right] = first;
  }
}
