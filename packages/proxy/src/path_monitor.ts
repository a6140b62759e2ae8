/**
 * Watches this VM's own path to the targets and tells the other VMs when it is gone.
 *
 * After the first target that cannot be reached, test connections to others show within a
 * connection timeout whether the path or the target is at fault. While the path is gone, a few test
 * connections at a time show when it is back.
 */

import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import type * as mesh from "@hemlockwalk/mesh";
import type * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import type * as reach from "./reachability.ts";
import * as testConnections from "./test_connection.ts";

/** Test connections at a time. */
const TESTS = 3;

/** Interval of the test connections while the path is gone. */
const TEST_INTERVAL_MILLISECONDS = 250;

/**
 * Interval at which a lost path is reported again. A report that is sent while links change may be
 * lost, and so may the one that the path is back: a VM counts as isolated for three intervals.
 */
const REPORT_INTERVAL_MILLISECONDS = 1_000;
const REPORT_VALID_MILLISECONDS = 3_000;

/** Name of the section of the reports that holds whether a VM is isolated. */
const SECTION = "isolation";

interface IsolatedVm {
  readonly incarnation: model.Incarnation;
  readonly reportedAt: number;
}

/** The path of this VM, and those that other VMs have lost. */
export class PathMonitor implements kernel.Service {
  readonly #directory: declarations.TargetDirectory;
  readonly #mesh: mesh.Mesh;
  readonly #reachability: reach.Reachability;
  readonly #sourceAddress: string | undefined;
  readonly #logger: kernel.ComponentLogger;
  readonly #counter: kernel.Counter<"change">;
  readonly #estimate = new placement.IsolationEstimate();
  readonly #isolatedVms = new Map<model.VmId, IsolatedVm>();
  readonly #tests = new Map<model.TargetId, testConnections.ConnectionAttempt>();
  #isReported = true;
  #reportedAt = 0;
  #isolatedAt = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(
    directory: declarations.TargetDirectory,
    vmMesh: mesh.Mesh,
    reachability: reach.Reachability,
    sourceAddress: string | undefined,
    logger: kernel.ComponentLogger,
    metrics: kernel.Metrics,
  ) {
    this.#directory = directory;
    this.#mesh = vmMesh;
    this.#reachability = reachability;
    this.#sourceAddress = sourceAddress;
    this.#logger = logger;
    this.#counter = metrics.createCounter(
      "hemlockwalk_isolations_total",
      "Losses and returns of this VM's path to all targets.",
      ["change"],
    );
    reachability.onAttempt((target, isConnected) => this.#recordAttempt(target, isConnected));
    vmMesh.addSection(SECTION, {
      collect: () => this.#collect(),
      receive: (from, payload) => this.#receive(from, payload),
    });
  }

  /** Whether this VM reaches no target at present, as far as it knows. */
  get isIsolated(): boolean {
    return this.#estimate.isIsolated;
  }

  /** Whether another VM has told that it reaches no target. */
  isVmIsolated(member: mesh.MemberIdentity): boolean {
    const known = this.#isolatedVms.get(member.vm);
    return known?.incarnation === member.incarnation &&
      kernel.getMonotonicMilliseconds() - known.reportedAt < REPORT_VALID_MILLISECONDS;
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#tests.forEach((test) => test.cancel());
    this.#tests.clear();
  }

  #recordAttempt(target: model.TargetId, isConnected: boolean): void {
    const wasIsolated = this.#estimate.isIsolated;
    const known = this.#listTargets().length;
    if (isConnected) {
      this.#estimate.recordConnected(target, known);
    } else {
      this.#estimate.recordFailed(target, known);
    }
    if (wasIsolated !== this.#estimate.isIsolated) {
      this.#onChange();
    } else if (!isConnected && !wasIsolated && this.#tests.size === 0) {
      this.#startTests(target);
    }
  }

  #onChange(): void {
    const now = kernel.getMonotonicMilliseconds();
    this.#isReported = false;
    this.#mesh.reportSoon();
    this.#counter.inc({ change: this.isIsolated ? "lost" : "restored" });
    if (this.isIsolated) {
      this.#isolatedAt = now;
      this.#logger.write(kernel.LogMessages.pathLost, { targets: this.#listTargets().length });
      this.#scheduleTests();
      return;
    }
    clearTimeout(this.#timer);
    this.#logger.write(kernel.LogMessages.pathRestored, {
      milliseconds: Math.round(now - this.#isolatedAt),
    });
    // What was unreachable because of the path is reachable again.
    this.#reachability.clear();
  }

  #scheduleTests(): void {
    this.#timer = setTimeout(() => {
      this.#startTests(undefined);
      if (this.isIsolated) {
        this.#scheduleTests();
      }
    }, TEST_INTERVAL_MILLISECONDS);
  }

  #startTests(excluded: model.TargetId | undefined): void {
    const targets = this.#listTargets().filter((target) => !this.#tests.has(target));
    for (const target of placement.drawTestTargets(targets, excluded, TESTS)) {
      const address = this.#directory.find(target)?.address;
      if (address === undefined) {
        continue;
      }
      const test = testConnections.testConnection(
        address,
        this.#sourceAddress,
        this.#reachability.getConnectTimeout(target),
        (milliseconds) => {
          this.#tests.delete(target);
          this.#recordAttempt(target, milliseconds !== undefined);
        },
      );
      this.#tests.set(target, test);
    }
  }

  #listTargets(): model.TargetId[] {
    return this.#directory.listAllServing().map(({ id }) => id);
  }

  #collect(): boolean | undefined {
    const now = kernel.getMonotonicMilliseconds();
    const isDue = this.isIsolated && now - this.#reportedAt >= REPORT_INTERVAL_MILLISECONDS;
    if (this.#isReported && !isDue) {
      return undefined;
    }
    this.#isReported = true;
    this.#reportedAt = now;
    return this.isIsolated;
  }

  #receive(from: mesh.MemberIdentity, payload: unknown): void {
    if (payload === true) {
      const reportedAt = kernel.getMonotonicMilliseconds();
      this.#isolatedVms.set(from.vm, { incarnation: from.incarnation, reportedAt });
    } else {
      this.#isolatedVms.delete(from.vm);
    }
  }
}
