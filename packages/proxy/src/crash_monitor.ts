/**
 * Watches for requests under which targets end, together with the other VMs, and quarantines them.
 *
 * A VM that is passed a request on takes part like the one that took it from its caller.
 */

import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import type * as mesh from "@hemlockwalk/mesh";
import type * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import * as exchange from "./crash_exchange.ts";
import type * as checks from "./target_end_check.ts";

/** Name of the section of the reports, and of the replicated state for VMs that join. */
const NAME = "crashes";

/** Investigates the calls of this VM that broke off and keeps the evidence of all VMs. */
export class CrashMonitor implements kernel.Service {
  readonly #checks: checks.TargetEndChecks;
  readonly #directory: declarations.TargetDirectory;
  readonly #logger: kernel.ComponentLogger;
  readonly #breakCounter: kernel.Counter<"finding">;
  readonly #quarantineCounter: kernel.Counter<never>;
  readonly #evidence = new placement.CrashEvidence();
  readonly #outbox: exchange.FindingOutbox;

  constructor(
    targetChecks: checks.TargetEndChecks,
    directory: declarations.TargetDirectory,
    vmMesh: mesh.Mesh,
    logger: kernel.ComponentLogger,
    metrics: kernel.Metrics,
  ) {
    this.#checks = targetChecks;
    this.#directory = directory;
    this.#logger = logger;
    this.#outbox = new exchange.FindingOutbox(vmMesh);
    this.#breakCounter = metrics.createCounter(
      "hemlockwalk_broken_calls_total",
      "Calls that broke off, by what was found of the target.",
      ["finding"],
    );
    this.#quarantineCounter = metrics.createCounter(
      "hemlockwalk_quarantines_total",
      "Requests that were quarantined because targets ended under them.",
    );
    vmMesh.addSection(NAME, {
      collect: () => this.#outbox.collect(),
      receive: (from, payload) => {
        this.#receive(payload, from.vm);
      },
    });
    vmMesh.addReplicatedState(NAME, {
      createSnapshot: () => exchange.encodeFindings(exchange.listFindings(this.#evidence)),
      receive: (payload) => this.#receive(payload, undefined),
    });
  }

  stop(): void {
    this.#checks.stop();
  }

  /** Whether no request needs to be looked at. */
  get isIdle(): boolean {
    return !this.#evidence.hasSuspects;
  }

  /** The quarantine of a request; undefined if it may be sent to targets. */
  findQuarantine(fingerprint: model.RequestFingerprint): placement.Quarantine | undefined {
    return this.#evidence.findQuarantine(fingerprint);
  }

  /** Whether a target has ended under a request since it last succeeded. */
  hasEnds(fingerprint: model.RequestFingerprint): boolean {
    return this.#evidence.hasEnds(fingerprint);
  }

  /** Records that a call broke off while its target may have been running the request. */
  recordBreak(target: declarations.TargetEntry, fingerprint: model.RequestFingerprint): void {
    const brokenAt = kernel.getMonotonicMilliseconds();
    if (this.#directory.find(target.id)?.isDraining === true) {
      // The end of a target that leaves is planned.
      return;
    }
    this.#investigate(target, fingerprint, brokenAt).catch((error: unknown) => {
      this.#logger.write(kernel.LogMessages.errorCaught, { error: String(error) });
    });
  }

  /** Records that a target has answered a request successfully. */
  recordSuccess(fingerprint: model.RequestFingerprint): void {
    if (this.#evidence.hasEnds(fingerprint)) {
      this.#report({ kind: "success", fingerprint, at: kernel.getMonotonicMilliseconds() });
    }
  }

  discardExpired(): void {
    this.#evidence.discardExpired();
  }

  async #investigate(
    target: declarations.TargetEntry,
    fingerprint: model.RequestFingerprint,
    brokenAt: number,
  ): Promise<void> {
    const finding = await this.#checks.check(target);
    this.#breakCounter.inc({ finding });
    if (finding !== "ended") {
      return;
    }
    const startedAt = target.startedAt ?? 0;
    this.#logger.write(kernel.LogMessages.targetEnded, {
      target: target.id,
      startedAt,
      fingerprint,
    });
    const end = { target: target.id, startedAt, endedAt: brokenAt };
    this.#report({ kind: "end", fingerprint, end });
  }

  /** Applies a finding of this VM and tells it to the others. */
  #report(finding: exchange.Finding): void {
    if (this.#apply(finding)) {
      this.#outbox.add(finding);
    }
  }

  /** Applies a message of another VM; returns whether any of it was new. */
  #receive(payload: unknown, from: model.VmId | undefined): boolean {
    const findings = exchange.decodeFindings(payload);
    if (findings.isErr()) {
      this.#logger.write(kernel.LogMessages.reportUnreadable, {
        peer: from,
        error: findings.error,
      });
      return false;
    }
    return findings.value.filter((finding) => this.#apply(finding)).length > 0;
  }

  #apply(finding: exchange.Finding): boolean {
    const { fingerprint } = finding;
    const before = this.#evidence.findQuarantine(fingerprint);
    const isNew = finding.kind === "end"
      ? this.#evidence.recordEnd(fingerprint, finding.end)
      : this.#evidence.recordSuccess(fingerprint, finding.at);
    const after = this.#evidence.findQuarantine(fingerprint);
    if (before === undefined && after !== undefined) {
      this.#quarantineCounter.inc();
      this.#logger.write(kernel.LogMessages.requestQuarantined, {
        fingerprint,
        targets: after.ends,
        milliseconds: Math.round(after.remainingMilliseconds),
      });
    } else if (before !== undefined && after === undefined) {
      this.#logger.write(kernel.LogMessages.requestReleased, { fingerprint });
    }
    return isNew;
  }
}
