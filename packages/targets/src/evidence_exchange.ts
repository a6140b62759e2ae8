/**
 * Exchanges evidence and verdicts with the coordinators, and runs the coordinators on this VM.
 */

import type * as configuration from "@hemlockwalk/configuration";
import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as verdictStores from "./verdict_store.ts";
import * as coordinators from "./coordinator.ts";
import * as floors from "./floor.ts";
import * as intervals from "./evidence_intervals.ts";
import * as evaluators from "./service_evaluator.ts";
import * as messages from "./messages.ts";
import type * as poolMetrics from "./pool_metrics.ts";
import type * as poolOptions from "./pool_options.ts";
import type * as types from "./types.ts";

/**
 * Evidence, in nats, that the coordinator requires for an ejection. The rate of false positives is
 * one in 160,000 evaluations for a target with twice the bad-call share of the other targets, and
 * far lower for a target with the same share.
 */
const COORDINATOR_NATS = 12;

/**
 * Number of VMs that must each have observed a bad call. Targets with few slots require fewer VMs,
 * since all slots of a hanging target may be taken before more VMs have called it.
 */
const MINIMUM_SOURCES = 3;
const MINIMUM_SOURCES_FOR_FEW_SLOTS = 2;

/** Coordinators whose verdicts are followed: the first-ranked one, and its successor. */
const FOLLOWED_COORDINATORS = 2;

/** Services of the VM that the exchange uses. */
export interface ExchangeContext {
  readonly network: fleet.PeerNetwork;
  readonly membership: fleet.Membership;
  readonly configuration: configuration.ConfigurationService;
  readonly metrics: poolMetrics.PoolMetrics;
  readonly guards: poolOptions.Guards;
  /** Called with the loads that a coordinator reports. */
  readonly onLoads: (service: model.ServiceId, loads: readonly messages.TargetLoad[]) => void;
}

/** Exchanges evidence and verdicts with the other VMs. */
export class EvidenceExchange {
  readonly #context: ExchangeContext;
  readonly #verdictStore: verdictStores.VerdictStore;
  readonly #coordinators = new Map<model.ServiceId, coordinators.Coordinator>();
  readonly #ranked = new Map<model.ServiceId, readonly model.VmId[]>();
  readonly #dataCentresByTarget = new Map<types.ShortId, model.DataCentreId>();
  #view: readonly fleet.Member[] = [];
  #members = 1;
  #dataCentres = 1;

  constructor(context: ExchangeContext) {
    this.#context = context;
    this.#verdictStore = new verdictStores.VerdictStore(context.guards.verdictExpiry);
    context.membership.onChange(() => this.#updateMembers());
    this.#updateMembers();
    const { network } = context;
    network.handle(messages.DIGEST_CHANNEL, (message) => this.#onDigest(message));
    network.handle(messages.VERDICT_CHANNEL, (message) => this.#onVerdicts(message));
  }

  /** Number of members of the fleet in this VM's view. */
  get members(): number {
    return this.#members;
  }

  /** This VM's view of the fleet. The array is replaced on a change, never modified. */
  listMembers(): readonly fleet.Member[] {
    return this.#view;
  }

  /** Applies a new configuration. */
  update(snapshot: configuration.Snapshot): void {
    this.#dataCentresByTarget.clear();
    for (const service of snapshot.listServices()) {
      for (const target of snapshot.listTargets(service.id)) {
        this.#dataCentresByTarget.set(messages.createShortId(target.id), target.dataCentre);
      }
    }
    for (const [service, coordinator] of this.#coordinators) {
      this.#setTargets(service, coordinator.evaluator);
    }
  }

  /** Sends a digest to the coordinator of its service. */
  send(digest: messages.Digest): void {
    const [first] = this.#rank(digest.service);
    const { network, metrics } = this.#context;
    metrics.digests.inc({ result: "sent" });
    if (first === undefined || first === network.self.vm) {
      this.#receive(network.self, digest);
      return;
    }
    if (network.send(first, messages.DIGEST_CHANNEL, digest).isErr()) {
      metrics.digests.inc({ result: "not_sent" });
    }
  }

  /** The verdicts on a service that this VM follows. */
  getCurrent(
    service: model.ServiceId,
    nowMilliseconds: number,
  ): verdictStores.HeldVerdicts | undefined {
    return this.#verdictStore.getCurrent(service, this.#rank(service), nowMilliseconds);
  }

  /** The verdicts that this VM follows, if they are not those of the first-ranked coordinator. */
  getHandoverVerdicts(
    service: model.ServiceId,
    nowMilliseconds: number,
  ): readonly types.Verdict[] | undefined {
    const held = this.getCurrent(service, nowMilliseconds);
    const [first] = this.#rank(service);
    if (held === undefined || held.sender === first || held.verdicts.length === 0) {
      return undefined;
    }
    const elapsed = nowMilliseconds - held.receivedAt;
    return held.verdicts.map((verdict) => ({
      ...verdict,
      remainingMilliseconds: Math.max(0, verdict.remainingMilliseconds - elapsed),
    }));
  }

  /** Performs the work that is due. */
  tick(nowMilliseconds: number): void {
    const expired = this.#verdictStore.removeExpired(nowMilliseconds);
    this.#context.metrics.verdictsExpired.inc(expired);
    for (const [service, coordinator] of this.#coordinators) {
      coordinator.evaluate(nowMilliseconds);
      coordinator.expireSenders(nowMilliseconds);
      if (!coordinator.hasSenders) {
        this.#coordinators.delete(service);
      }
    }
  }

  /** Discards the evidence of all services, such as after a pause. */
  discardEvidence(): void {
    for (const coordinator of this.#coordinators.values()) {
      coordinator.discardEvidence();
    }
  }

  #updateMembers(): void {
    const members = this.#context.membership.listMembers();
    this.#ranked.clear();
    this.#view = [...members];
    this.#members = Math.max(1, members.length);
    this.#dataCentres = new Set(members.map((member) => member.dataCentre)).size;
  }

  #rank(service: model.ServiceId): readonly model.VmId[] {
    let ranked = this.#ranked.get(service);
    if (ranked === undefined) {
      const live = this.#context.membership.listMembers().filter((member) =>
        member.state === "live"
      );
      ranked = fleet.rankOwners(
        `targets ${service}`,
        live.map((member) => member.vm),
        FOLLOWED_COORDINATORS,
      );
      this.#ranked.set(service, ranked);
    }
    return ranked;
  }

  #onDigest(message: fleet.PeerMessage): void {
    const parsed = messages.digestSchema.safeParse(message.payload);
    if (!parsed.success) {
      this.#context.metrics.digests.inc({ result: "malformed" });
      return;
    }
    this.#receive(message.from, parsed.data);
  }

  #receive(from: fleet.VmIdentity, digest: messages.Digest): void {
    const snapshot = this.#context.configuration.getSnapshot();
    if (snapshot?.findService(digest.service) === undefined) {
      this.#context.metrics.digests.inc({ result: "unknown_service" });
      return;
    }
    this.#context.metrics.digests.inc({ result: "received" });
    const coordinator = this.#getCoordinator(digest.service);
    coordinator.receive(from, digest, kernel.getMonotonicMilliseconds());
  }

  #onVerdicts(message: fleet.PeerMessage): void {
    const parsed = messages.verdictSchema.safeParse(message.payload);
    if (!parsed.success) {
      this.#context.metrics.verdictMessages.inc({ result: "malformed" });
      return;
    }
    this.#accept(message.from, parsed.data);
  }

  #accept(from: fleet.VmIdentity, message: messages.VerdictMessage): void {
    const { network, metrics } = this.#context;
    if (message.life !== fleet.hashText(network.self.incarnation)) {
      metrics.verdictMessages.inc({ result: "other_life" });
      return;
    }
    const ignored = this.#verdictStore.accept(
      from,
      message,
      intervals.getVerdictLifetime(this.#members),
      kernel.getMonotonicMilliseconds(),
    );
    metrics.verdictMessages.inc({ result: ignored ?? "accepted" });
    if (ignored === undefined) {
      this.#context.onLoads(message.service, messages.listLoads(message.loads));
    }
  }

  #getCoordinator(service: model.ServiceId): coordinators.Coordinator {
    let coordinator = this.#coordinators.get(service);
    if (coordinator !== undefined) {
      return coordinator;
    }
    const { metrics, guards } = this.#context;
    const evaluator = new evaluators.ServiceEvaluator(
      {
        nats: COORDINATOR_NATS,
        // Evidence from several VMs already rules out a local fault of one of them.
        minimumPeers: 0,
        getMinimumSources: () => this.#getMinimumSources(service),
        comparesDataCentres: () => guards.pathCheck && this.#dataCentres > 1,
        enforceFloor: guards.floor,
      },
      metrics.createEvaluatorEvents("coordinator", service),
    );
    coordinator = new coordinators.Coordinator({
      service,
      evaluator,
      send: (to, message) => this.#sendVerdicts(to, message),
      countDiscarded: (reason, calls) => metrics.countDiscarded(reason, calls),
      countMembers: () => this.#members,
      isNear: (target, dataCentre) => {
        const targetDataCentre = this.#dataCentresByTarget.get(target);
        return targetDataCentre === undefined ? undefined : targetDataCentre === dataCentre;
      },
    });
    this.#setTargets(service, evaluator);
    this.#coordinators.set(service, coordinator);
    return coordinator;
  }

  #getMinimumSources(service: model.ServiceId): number {
    const slots = this.#context.configuration.getSnapshot()?.findService(service)?.slots ?? 1;
    const minimum = slots > MINIMUM_SOURCES ? MINIMUM_SOURCES : MINIMUM_SOURCES_FOR_FEW_SLOTS;
    return Math.min(minimum, this.#members);
  }

  #sendVerdicts(to: model.VmId, message: messages.VerdictMessage): void {
    const { network } = this.#context;
    if (to === network.self.vm) {
      this.#accept(network.self, message);
      return;
    }
    network.send(to, messages.VERDICT_CHANNEL, message);
  }

  #setTargets(service: model.ServiceId, evaluator: evaluators.ServiceEvaluator): void {
    const snapshot = this.#context.configuration.getSnapshot();
    const declared = snapshot?.listTargets(service) ?? [];
    const floor = snapshot?.findService(service)?.floor ?? 1;
    evaluator.setTargets(
      declared.map((target) => ({
        target: messages.createShortId(target.id),
        leaving: target.leaving,
      })),
      floors.getAllowance(declared, floor),
    );
  }
}
