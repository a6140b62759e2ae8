/**
 * The state of one target on which its choice is based: running requests, latency and readiness.
 */

/** Weight of a new sample in the moving average of latencies. */
const LATENCY_WEIGHT = 0.3;

/** The average latency is discarded when no call has updated it for this long. */
const LATENCY_LIFETIME_MILLISECONDS = 20_000;

/** Time over which the share of a new or returning target grows to its full size. */
const RAMP_MILLISECONDS = 10_000;

const MINIMUM_READINESS = 0.1;

/** A shed call halves the share of its target, which recovers over this time. */
const SHED_FACTOR = 0.5;
const SHED_RECOVERY_MILLISECONDS = 5_000;

/** The state of one target on this VM. */
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
  /** Requests that all VMs run on the target, as last reported by the coordinator. */
  reportedLoad = 0;
  /** The part of `reportedLoad` that comes from this VM. */
  ownReportedLoad = 0;

  /** @param cold Whether the target starts with a small share that grows over time. */
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

  /** Reduces the target to a small share that grows over time, such as after its return to use. */
  startRamp(nowMilliseconds: number): void {
    this.#rampFrom = nowMilliseconds;
    this.#latency = undefined;
  }

  recordLatency(milliseconds: number, nowMilliseconds: number): void {
    const previous = this.getLatency(nowMilliseconds);
    this.#latency = previous === undefined
      ? milliseconds
      : previous + LATENCY_WEIGHT * (milliseconds - previous);
    this.#latencyAt = nowMilliseconds;
  }

  recordShed(nowMilliseconds: number): void {
    this.#shedShare = Math.max(
      MINIMUM_READINESS,
      this.#getShedShare(nowMilliseconds) * SHED_FACTOR,
    );
    this.#shedAt = nowMilliseconds;
  }

  /** Average latency in milliseconds; undefined without a recent call. */
  getLatency(nowMilliseconds: number): number | undefined {
    return nowMilliseconds - this.#latencyAt < LATENCY_LIFETIME_MILLISECONDS
      ? this.#latency
      : undefined;
  }

  /** Weight of the target in the choice, from `MINIMUM_READINESS` to 1. */
  getReadiness(nowMilliseconds: number): number {
    const ramped = (nowMilliseconds - this.#rampFrom) / RAMP_MILLISECONDS;
    const share = Math.min(1, ramped) * this.#getShedShare(nowMilliseconds);
    return Math.max(MINIMUM_READINESS, share);
  }

  /**
   * Average number of running requests since the last call of this method.
   *
   * @param minimumMilliseconds Shortest time to average over. The coordinator may use the value for
   * this long, so a short burst must not count as the load of the whole time.
   */
  takeAverageLoad(minimumMilliseconds: number, nowMilliseconds: number): number {
    this.#accumulate(nowMilliseconds);
    const elapsed = nowMilliseconds - this.#loadSince;
    const average = this.#busyMilliseconds / Math.max(elapsed, minimumMilliseconds);
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
