/**
 * Chooses the VMs that read the store for the whole fleet.
 *
 * Three VMs read, in different data centres where possible. Every reader reports the responses of
 * the store, so all VMs know which readers work. A VM that the store turns away is passed over and
 * goes on trying. A VM that has taken over reads until all that rank before it have had responses
 * since, so that the fleet is not without a reader while readers change.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as mesh from "@hemlockwalk/mesh";
import type * as model from "@hemlockwalk/model";

/** Number of VMs that read. Three rarely fail at the same time. */
const READERS = 3;

/** Failed calls in a row after which a VM counts as turned away. */
const TURNED_AWAY_FAILURES = 2;

/** Interval at which a VM that is turned away reports it again, and how long a report is valid. */
const REPORT_INTERVAL_MILLISECONDS = 1_000;
const REPORT_VALID_MILLISECONDS = 3_000;

/**
 * Time without a response from the store to any VM after which a VM reads that is not a reader. It
 * is longer than one watch; the time that a report takes to arrive is added.
 */
const STALE_MILLISECONDS = 900;

/** Added for each rank in the data centre, so that the whole fleet does not read at once. */
const STALE_PER_RANK_MILLISECONDS = 100;
const MAX_RANK = 8;

/** Name of the section of the reports that holds how the store treats a VM. */
const SECTION = "store";

/** Why a VM reads the store at present. */
export type ReadingReason = "ranked" | "stale" | "taken_over" | "none";

/** What a VM reports: whether it is turned away, and the age of the store's latest response to it. */
type AccessPayload = readonly [isTurnedAway: boolean, respondedAgoMilliseconds: number | null];

interface AccessReport {
  readonly incarnation: model.Incarnation;
  readonly isTurnedAway: boolean;
  readonly receivedAt: number;
  /** Monotonic time of the store's latest response to the VM, in milliseconds. */
  readonly respondedAt: number;
}

/**
 * Lists the VMs that are to read: the first of each data centre, then the second of each, and so on,
 * without those that are turned away.
 *
 * @param dataCentres Members of each data centre, the relay first.
 */
export function listReaders<Member>(
  dataCentres: readonly (readonly Member[])[],
  isTurnedAway: (member: Member) => boolean,
): Member[] {
  const served = dataCentres.map((members) => members.filter((member) => !isTurnedAway(member)));
  const depth = Math.max(...served.map((members) => members.length));
  return Array.from(
    { length: depth },
    (_, rank) => served.flatMap((members) => members[rank] ?? []),
  )
    .flat()
    .slice(0, READERS);
}

/** Decides whether this VM reads the store, and reports how the store treats it. */
export class StoreReaders {
  readonly #mesh: mesh.Mesh;
  readonly #logger: kernel.ComponentLogger;
  readonly #startedAt = kernel.getMonotonicMilliseconds();
  readonly #reports = new Map<model.VmId, AccessReport>();
  #reason: ReadingReason = "none";
  /** Time at which this VM was last ranked as a reader, or found that nobody reads. */
  #neededAt = Number.NEGATIVE_INFINITY;
  #respondedAt = Number.NEGATIVE_INFINITY;
  #failures = 0;
  #isReported = true;
  #reportedAt = Number.NEGATIVE_INFINITY;

  constructor(vmMesh: mesh.Mesh, logger: kernel.ComponentLogger) {
    this.#mesh = vmMesh;
    this.#logger = logger;
    vmMesh.addSection(SECTION, {
      collect: () => this.#collect(),
      receive: (from, payload) => this.#receive(from, payload),
    });
  }

  /** Time since the store's latest response to any VM, or since the start, in milliseconds. */
  get confirmationAge(): number {
    return kernel.getMonotonicMilliseconds() -
      Math.max(this.#mesh.lastStoreResponseAt, this.#startedAt);
  }

  /** Whether some VM has had a response of the store lately. */
  get isConfirmed(): boolean {
    const age = kernel.getMonotonicMilliseconds() - this.#mesh.lastStoreResponseAt;
    return age <= STALE_MILLISECONDS + this.#mesh.propagationMilliseconds;
  }

  /** Whether this VM is to read now, and why. */
  chooseReason(): ReadingReason {
    this.#reason = this.#decide();
    if (this.#reason === "none" && this.#failures > 0) {
      this.#failures = 0;
      this.#reportChange();
    }
    return this.#reason;
  }

  /** Records that the store has responded to this VM. */
  recordResponse(): void {
    // VMs that have taken over cease once they hear of the first response after a gap.
    const endsGap = this.#respondedAt < this.#neededAt - STALE_MILLISECONDS;
    this.#respondedAt = kernel.getMonotonicMilliseconds();
    this.#isReported = false;
    if (this.#isTurnedAway || endsGap) {
      this.#reportChange();
    }
    this.#failures = 0;
  }

  /** Records that a call of this VM has failed. */
  recordFailure(): void {
    this.#failures++;
    if (this.#failures === TURNED_AWAY_FAILURES) {
      this.#reportChange();
    }
  }

  get #isTurnedAway(): boolean {
    return this.#failures >= TURNED_AWAY_FAILURES;
  }

  #decide(): ReadingReason {
    const now = kernel.getMonotonicMilliseconds();
    const self = this.#mesh.self.vm;
    // This VM's own failures are ignored, so that it goes on trying.
    const readers = listReaders(
      this.#mesh.rankDataCentres(),
      (member) => member.vm !== self && this.#isMemberTurnedAway(member),
    );
    if (readers.some(({ vm }) => vm === self)) {
      this.#neededAt = now;
      return "ranked";
    }
    if (this.confirmationAge > this.#getStaleAfter()) {
      this.#neededAt = now;
      return "stale";
    }
    const isReading = this.#reason !== "none" && this.#failures === 0;
    const areAllReading = readers.every(({ vm }) =>
      (this.#reports.get(vm)?.respondedAt ?? Number.NEGATIVE_INFINITY) > this.#neededAt
    );
    return isReading && !areAllReading ? "taken_over" : "none";
  }

  #getStaleAfter(): number {
    const ranked = this.#mesh.rankOwnDataCentre();
    const rank = ranked.findIndex((member) => member.vm === this.#mesh.self.vm);
    // A VM that hears no other one does not wait for those that rank before it.
    const turns = this.#mesh.countInContact() === 1 ? 0 : Math.min(rank, MAX_RANK);
    return STALE_MILLISECONDS + this.#mesh.propagationMilliseconds +
      turns * STALE_PER_RANK_MILLISECONDS;
  }

  #isMemberTurnedAway(member: mesh.MemberIdentity): boolean {
    const report = this.#reports.get(member.vm);
    return report !== undefined && report.isTurnedAway &&
      report.incarnation === member.incarnation &&
      kernel.getMonotonicMilliseconds() - report.receivedAt < REPORT_VALID_MILLISECONDS;
  }

  /** Reports at once, since other VMs wait for it to begin or to cease to read. */
  #reportChange(): void {
    this.#isReported = false;
    this.#mesh.reportSoon();
  }

  #collect(): AccessPayload | undefined {
    const now = kernel.getMonotonicMilliseconds();
    const isDue = this.#isTurnedAway && now - this.#reportedAt >= REPORT_INTERVAL_MILLISECONDS;
    if (this.#isReported && !isDue) {
      return undefined;
    }
    this.#isReported = true;
    this.#reportedAt = now;
    const respondedAgo = now - this.#respondedAt;
    return [this.#isTurnedAway, Number.isFinite(respondedAgo) ? Math.round(respondedAgo) : null];
  }

  #receive(from: mesh.MemberIdentity, payload: unknown): void {
    if (!isAccessPayload(payload)) {
      this.#logger.write(kernel.LogMessages.reportUnreadable, {
        peer: from.vm,
        error: `The section ${SECTION} has an unknown shape.`,
      });
      return;
    }
    const [isTurnedAway, respondedAgo] = payload;
    const now = kernel.getMonotonicMilliseconds();
    this.#reports.set(from.vm, {
      incarnation: from.incarnation,
      isTurnedAway,
      receivedAt: now,
      respondedAt: respondedAgo === null ? Number.NEGATIVE_INFINITY : now - respondedAgo,
    });
  }
}

function isAccessPayload(payload: unknown): payload is AccessPayload {
  if (!Array.isArray(payload)) {
    return false;
  }
  const [isTurnedAway, respondedAgo] = payload as unknown[];
  return typeof isTurnedAway === "boolean" &&
    (respondedAgo === null || (typeof respondedAgo === "number" && respondedAgo >= 0));
}
