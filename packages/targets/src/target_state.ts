/**
 * What this VM knows of one target for the choice: its own requests there, latency, and readiness.
 */

/** Weight of a new latency in the average. */
const LATENCY_WEIGHT = 0.3;

/** A latency that was not renewed for this long is forgotten. */
const LATENCY_LIFETIME_MILLISECONDS = 20_000;

/** A new or returning target gets its full share after this time. */
const RAMP_MILLISECONDS = 10_000;

const LEAST_READINESS = 0.1;

/** A shed answer halves the target's share, which recovers over this time. */
const SHED_FACTOR = 0.5;
const SHED_RECOVERY_MILLISECONDS = 5_000;

/** One target as this VM sees it. */
export class TargetState {
  #running = 0;
  #busyMilliseconds = 0;
  #busySince: number;
  #loadSince: number;
  #rampFrom: number;
  #latency: number | undefined;
  #latencyAt = 0;
  #shedShare = 1;
  #shedAt = Number.NEGATIVE_INFINITY;
  /** Requests that all VMs run on the target, as the coordinator last told. */
  reportedLoad = 0;
  /** What this VM contributed to it. */
  ownReportedLoad = 0;

  /** @param cold Whether the target's share grows from little. */
  constructor(cold: boolean, nowMilliseconds: number) {
    this.#rampFrom = cold ? nowMilliseconds : Number.NEGATIVE_INFINITY;
    this.#busySince = nowMilliseconds;
    this.#loadSince = nowMilliseconds;
  }

  /** Requests of this VM that run on the target. */
  get running(): number {
    return this.#running;
  }

  /** Requests of the other VMs, as last reported. */
  get peerLoad(): number {
    return Math.max(0, this.reportedLoad - this.ownReportedLoad);
  }

  begin(nowMilliseconds: number): void {
    this.#accumulate(nowMilliseconds);
    this.#running++;
  }

  end(nowMilliseconds: number): void {
    this.#accumulate(nowMilliseconds);
    this.#running--;
  }

  /** Makes the target's share grow from little, as after its return. */
  startRamp(nowMilliseconds: number): void {
    this.#rampFrom = nowMilliseconds;
    this.#latency = undefined;
  }

  noteLatency(milliseconds: number, nowMilliseconds: number): void {
    const known = this.getLatency(nowMilliseconds);
    this.#latency = known === undefined
      ? milliseconds
      : known + LATENCY_WEIGHT * (milliseconds - known);
    this.#latencyAt = nowMilliseconds;
  }

  noteShed(nowMilliseconds: number): void {
    this.#shedShare = Math.max(LEAST_READINESS, this.#getShedShare(nowMilliseconds) * SHED_FACTOR);
    this.#shedAt = nowMilliseconds;
  }

  /** Recent average latency in milliseconds; undefined when nothing recent is known. */
  getLatency(nowMilliseconds: number): number | undefined {
    return nowMilliseconds - this.#latencyAt < LATENCY_LIFETIME_MILLISECONDS
      ? this.#latency
      : undefined;
  }

  /** From a little above 0 to 1. */
  getReadiness(nowMilliseconds: number): number {
    const ramped = (nowMilliseconds - this.#rampFrom) / RAMP_MILLISECONDS;
    const share = Math.min(1, ramped) * this.#getShedShare(nowMilliseconds);
    return Math.max(LEAST_READINESS, share);
  }

  /** Average number of running requests since the last call of this method. */
  takeAverageLoad(nowMilliseconds: number): number {
    this.#accumulate(nowMilliseconds);
    const elapsed = nowMilliseconds - this.#loadSince;
    const average = elapsed > 0 ? this.#busyMilliseconds / elapsed : this.#running;
    this.#busyMilliseconds = 0;
    this.#loadSince = nowMilliseconds;
    return average;
  }

  #accumulate(nowMilliseconds: number): void {
    this.#busyMilliseconds += this.#running * (nowMilliseconds - this.#busySince);
    this.#busySince = nowMilliseconds;
  }

  #getShedShare(nowMilliseconds: number): number {
    const recovered = (nowMilliseconds - this.#shedAt) / SHED_RECOVERY_MILLISECONDS;
    return Math.min(1, this.#shedShare + recovered);
  }
}
