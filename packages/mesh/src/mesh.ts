/**
 * The mesh: what each VM knows reaches all others within a few ticks, with few links.
 *
 * In each data centre the VM with the largest capacity relays, the oldest among equals: all others
 * of the data centre subscribe to it, and the relays of the data centres are bridged. Nobody is
 * elected: each VM ranks the members that it knows and follows the first that it reaches. A VM that
 * others subscribe to relays, whatever it thinks of its own rank. Reports carry absolute values and
 * sequence numbers, so that loss, repetition and loops do no harm.
 */

import * as http from "node:http";
import * as kernel from "@hemlockwalk/kernel";
import * as ws from "ws";
import * as links from "./link.ts";
import * as members from "./member_table.ts";
import * as requests from "./feed_requests.ts";
import * as packed from "./packed_report.ts";
import type * as types from "./types.ts";

/** Interval in which links are looked after and changes are sent at most. */
const TICK_MILLISECONDS = 100;

/**
 * Interval in which changes that are not urgent are gathered, for each VM of the fleet, so that all
 * reports together do not grow with the fleet: two thirds of one for each millisecond.
 */
const NEWS_INTERVAL_PER_MEMBER_MILLISECONDS = 1.5;

/** News pass two relays and wait for a tick at each, besides the interval of their VM. */
const NEWS_TICKS = 2;

/** Delay of a report that others should have at once, so that several of them travel together. */
const URGENT_DELAY_MILLISECONDS = 10;

/** Delay with which a relay passes reports on, so that those of several VMs travel together. */
const RELAY_DELAY_MILLISECONDS = 50;

/**
 * Delay with which a relay passes urgent reports on, for each VM of the fleet. Targets that fail are
 * reported more often the more VMs there are; without it the relay's messages would grow by the
 * square of the fleet.
 */
const URGENT_RELAY_PER_MEMBER_MILLISECONDS = 0.3;

/** Name of the feed that tells of members that have just come. */
const MEMBER_FEED = "members";

/** A VM without news reports so often that it lives; grows with the fleet to bound the traffic. */
const MIN_REPORT_INTERVAL_MILLISECONDS = 1_000;
const REPORT_INTERVAL_PER_MEMBER_MILLISECONDS = 10;

/** How often a report says whose it is, for VMs that have lost sight of this one. */
const INTRODUCTION_INTERVAL_MILLISECONDS = 1_000;

/** A link on which nothing was sent for so long carries an empty message. */
const LINK_KEEPALIVE_MILLISECONDS = 400;

/** A link that was silent for so long is dead. Three keepalives and the delay of a busy VM. */
const LINK_SILENCE_MILLISECONDS = 1_500;

const DIAL_TIMEOUT_MILLISECONDS = 700;

/** Relays of its own data centre that a VM keeps links to. */
const RELAYS_PER_DATA_CENTRE = 2;

/** How often seeds are dialled that no link leads to. */
const SEED_INTERVAL_MILLISECONDS = 1_000;

/** Settings of a mesh. */
export interface MeshOptions {
  readonly self: types.MemberIdentity;
  /** Addresses of some VMs. They may be stale; read anew each time. */
  readonly listSeeds: () => readonly string[];
  readonly logger: kernel.PartLogger;
}

/** Links of this VM and what travels over them. */
export class Mesh implements kernel.Service, links.LinkListener {
  readonly self: types.MemberIdentity;
  readonly #options: MeshOptions;
  readonly #table: members.MemberTable;
  readonly #sections = new Map<string, types.ReportSection>();
  readonly #feeds = new Map<string, types.Feed>();
  readonly #links = new Set<links.Link>();
  readonly #requests: requests.FeedRequests;
  #server: http.Server | undefined;
  #webSockets: ws.WebSocketServer | undefined;
  #tickTimer: NodeJS.Timeout | undefined;
  #urgentTimer: NodeJS.Timeout | undefined;
  #relayTimer: NodeJS.Timeout | undefined;
  #urgentRelayTimer: NodeJS.Timeout | undefined;
  #careImmediate: NodeJS.Immediate | undefined;
  #sequence = 0;
  #reportedAt = Number.NEGATIVE_INFINITY;
  #introducedAt = Number.NEGATIVE_INFINITY;
  #seedsDialledAt = Number.NEGATIVE_INFINITY;
  #confirmedAt = Number.NEGATIVE_INFINITY;
  #isLeaving = false;

  constructor(options: MeshOptions) {
    this.#options = options;
    this.self = options.self;
    this.#table = new members.MemberTable(options.self);
    this.#requests = new requests.FeedRequests(this.#feeds, this.#links, this.self.dataCentre);
    this.addFeed(MEMBER_FEED, {
      createSnapshot: () => [],
      receive: (payload) => {
        const introduced = (payload as types.MemberIdentity[]).map((member) =>
          this.#table.introduce(member)
        );
        return introduced.includes(true);
      },
    });
  }

  /** Number of VMs known to be alive, this one included. */
  get size(): number {
    return this.#table.size;
  }

  /** Monotonic time of the latest answer of the store to any VM, as far as known here. */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /** Whether any other VM is linked at present. */
  get isLinked(): boolean {
    return [...this.#links].some((link) => link.isOpen && link.peer !== undefined);
  }

  /** Whether another VM was asked for something that has not come yet. */
  get isAwaitingFeeds(): boolean {
    return this.#requests.isPending;
  }

  /** Members of this data centre, the relay first. */
  rankOwnDataCentre(): types.MemberIdentity[] {
    return this.#table.rank(this.self.dataCentre);
  }

  /** The first VM of each data centre, in an order that all VMs share. */
  rankRelays(): types.MemberIdentity[] {
    return this.#table.listDataCentres().flatMap((dataCentre) =>
      this.#table.rank(dataCentre).slice(0, 1)
    );
  }

  addSection(name: string, section: types.ReportSection): void {
    this.#sections.set(name, section);
  }

  addFeed(name: string, feed: types.Feed): void {
    this.#feeds.set(name, feed);
  }

  /** Notes that the store has answered this VM now. */
  confirm(): void {
    this.#confirmedAt = kernel.getMonotonicMilliseconds();
  }

  /** Sends an update of a feed to all VMs. */
  publish(feed: string, payload: unknown): void {
    this.#forward({ kind: "feed", feed, payload }, undefined);
  }

  /** Time within which others hear of a change that is not urgent, in milliseconds. */
  get newsMilliseconds(): number {
    return this.#getNewsInterval() + NEWS_TICKS * TICK_MILLISECONDS;
  }

  /** Has the next report sent at once. */
  hurry(): void {
    this.#urgentTimer ??= setTimeout(() => {
      this.#urgentTimer = undefined;
      this.#report(true);
      this.#flush();
    }, URGENT_DELAY_MILLISECONDS);
  }

  /** VMs that are believed to be alive, without this one. */
  listOthers(): types.MemberIdentity[] {
    return this.#table.list();
  }

  async start(): Promise<void> {
    this.#server = http.createServer((_request, response) => response.writeHead(404).end());
    this.#webSockets = new ws.WebSocketServer({ server: this.#server, perMessageDeflate: false });
    this.#webSockets.on("connection", (socket) => this.#addLink(new links.Link(socket, this)));
    const { host, port } = kernel.splitAddress(this.self.address);
    await new Promise<void>((resolve, reject) => {
      this.#server?.once("error", reject);
      this.#server?.listen(port, host, resolve);
    });
    this.#tickTimer = setInterval(() => this.#tick(), TICK_MILLISECONDS);
    this.#tick();
  }

  /** Tells all VMs that this one leaves. */
  drain(): void {
    this.#isLeaving = true;
    this.#reportedAt = Number.NEGATIVE_INFINITY;
    this.#report(true);
    this.#flush();
  }

  stop(): void {
    clearInterval(this.#tickTimer);
    clearImmediate(this.#careImmediate);
    this.#requests.stop();
    clearTimeout(this.#urgentTimer);
    clearTimeout(this.#relayTimer);
    clearTimeout(this.#urgentRelayTimer);
    for (const link of this.#links) {
      link.close();
    }
    this.#webSockets?.close();
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  onMessage(link: links.Link, message: types.LinkMessage): void {
    switch (message.kind) {
      case "hello":
        link.peer = message.identity;
        this.#receiveFeed({
          kind: "feed",
          feed: MEMBER_FEED,
          payload: [message.identity, ...message.members],
        }, link);
        for (const [name, payload] of Object.entries(message.feeds)) {
          this.#receiveFeed({ kind: "feed", feed: name, payload }, link);
        }
        if (link.dialledAddress === undefined) {
          this.#introduce(link);
        }
        this.#compareMarks(message.marks, link);
        this.#maintainLinks();
        return;
      case "role":
        link.role = message.role;
        return;
      case "reports":
        this.#receiveReports(message, link);
        return;
      case "marks":
        this.#compareMarks(message.marks, link);
        return;
      case "request":
        this.#sendWhole(message.feeds, link);
        return;
      case "feed":
        this.#receiveFeed(message, link);
        if (message.isWhole === true) {
          this.#requests.end(link, message.feed);
        }
        return;
    }
  }

  onClose(link: links.Link): void {
    this.#links.delete(link);
    this.#requests.drop(link);
    if (link.peer === undefined) {
      const member = this.#table.list().find((known) => known.address === link.dialledAddress);
      if (member !== undefined) {
        this.#table.markUnreachable(member.vm);
      }
      return;
    }
    this.#options.logger.write(kernel.LogMessages.linkLost, {
      peer: link.peer.vm,
      role: link.role,
    });
    if (link.dialledAddress !== undefined) {
      this.#table.markUnreachable(link.peer.vm);
      this.#maintainLinks();
    }
  }

  #tick(): void {
    // Half a tick, since a tick may come a little early against the last one.
    const dueAt = this.#reportedAt + this.#getNewsInterval() - TICK_MILLISECONDS / 2;
    if (kernel.getMonotonicMilliseconds() >= dueAt) {
      this.#report(false);
    }
    this.#flush();
    // After the input that came while the process was held up, so that nobody is missed who spoke.
    this.#careImmediate = setImmediate(() => {
      this.#closeSilentLinks();
      this.#requests.advance();
      this.#table.expire(this.#getReportInterval());
      this.#maintainLinks();
    });
  }

  #getNewsInterval(): number {
    const byFleet = this.#table.size * NEWS_INTERVAL_PER_MEMBER_MILLISECONDS;
    return Math.max(TICK_MILLISECONDS, byFleet);
  }

  /** Passes reports on within the data centre. Bridges wait for the tick: their bytes cost. */
  #relaySoon(): void {
    this.#relayTimer ??= setTimeout(() => {
      this.#relayTimer = undefined;
      this.#flush((link) => link.role !== "bridge");
    }, RELAY_DELAY_MILLISECONDS);
  }

  /** Passes urgent reports on everywhere, with what else came within the delay. */
  #relayUrgently(): void {
    this.#urgentRelayTimer ??= setTimeout(
      () => {
        this.#urgentRelayTimer = undefined;
        this.#flush();
      },
      Math.max(
        URGENT_DELAY_MILLISECONDS,
        this.#table.size * URGENT_RELAY_PER_MEMBER_MILLISECONDS,
      ),
    );
  }

  #getReportInterval(): number {
    return Math.max(
      MIN_REPORT_INTERVAL_MILLISECONDS,
      this.#table.size * REPORT_INTERVAL_PER_MEMBER_MILLISECONDS,
    );
  }

  /** Queues this VM's own report when it has news or when one is due. */
  #report(isUrgent: boolean): void {
    const sections: Record<string, unknown> = {};
    let hasNews = false;
    for (const [name, section] of this.#sections) {
      const payload = section.collect();
      if (payload !== undefined) {
        sections[name] = payload;
        hasNews = true;
      }
    }
    const now = kernel.getMonotonicMilliseconds();
    if (!hasNews && now - this.#reportedAt < this.#getReportInterval()) {
      return;
    }
    this.#reportedAt = now;
    const isIntroduction = now - this.#introducedAt >= INTRODUCTION_INTERVAL_MILLISECONDS;
    if (isIntroduction) {
      this.#introducedAt = now;
    }
    const report: types.Report = {
      tag: this.self.tag,
      sequence: ++this.#sequence,
      isLeaving: this.#isLeaving,
      isUrgent,
      sections,
      origin: isIntroduction ? this.self : undefined,
    };
    this.#queue(packed.encodeReport(report), undefined);
  }

  /** Queues a report for each neighbour that has not sent it itself. */
  #queue(report: Uint8Array, from: links.Link | undefined): void {
    for (const link of this.#links) {
      if (link !== from && link.peer !== undefined && this.#passesOn(from, link)) {
        link.waiting.push(report);
      }
    }
  }

  #flush(isFlushed: (link: links.Link) => boolean = () => true): void {
    const now = kernel.getMonotonicMilliseconds();
    for (const link of this.#links) {
      if (!link.isOpen || link.peer === undefined || !isFlushed(link)) {
        continue;
      }
      const reports = link.waiting.splice(0);
      if (reports.length > 0 || now - link.sentAt >= LINK_KEEPALIVE_MILLISECONDS) {
        link.send(links.encode({
          kind: "reports",
          reports,
          confirmedAge: this.#getAge(now),
        }));
      }
    }
  }

  #getAge(now: number): number | undefined {
    return this.#confirmedAt === Number.NEGATIVE_INFINITY ? undefined : now - this.#confirmedAt;
  }

  /** Whether what came over one link goes out over another. Own news go to all but standbys. */
  #passesOn(from: links.Link | undefined, to: links.Link): boolean {
    if (to.role === "standby") {
      return false;
    }
    return !(from?.role === "bridge" && to.role === "bridge");
  }

  #receiveReports(
    message: Extract<types.LinkMessage, { kind: "reports" }>,
    link: links.Link,
  ): void {
    if (typeof message.confirmedAge === "number") {
      const confirmedAt = kernel.getMonotonicMilliseconds() - message.confirmedAge;
      this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
    }
    let isUrgent = false;
    for (const encoded of message.reports) {
      const report = packed.decodeReport(encoded);
      if (report.isErr()) {
        this.#options.logger.write(kernel.LogMessages.reportUnreadable, {
          peer: link.peer?.vm,
          error: report.error,
        });
        continue;
      }
      this.#receiveReport(report.value, encoded, link);
      isUrgent ||= report.value.isUrgent;
    }
    if (isUrgent) {
      this.#relayUrgently();
    } else if (message.reports.length > 0) {
      this.#relaySoon();
    }
  }

  #receiveReport(report: types.Report, encoded: Uint8Array, link: links.Link): void {
    if (report.origin !== undefined) {
      this.#table.introduce(report.origin);
    }
    const origin = this.#table.hear(report.tag, report.sequence);
    if (origin === undefined) {
      return;
    }
    for (const [name, payload] of Object.entries(report.sections)) {
      this.#sections.get(name)?.receive(origin, payload);
    }
    if (report.isLeaving) {
      this.#table.end(origin);
    }
    this.#queue(encoded, link);
  }

  #receiveFeed(message: Extract<types.LinkMessage, { kind: "feed" }>, link: links.Link): void {
    const feed = this.#feeds.get(message.feed);
    const isNew = feed?.receive(message.payload) ?? false;
    if (!isNew) {
      return;
    }
    if (message.isWhole === true && feed?.marks !== undefined) {
      // Most others hold it already, so they are not sent all of it.
      this.#forward({ kind: "marks", marks: { [message.feed]: feed.marks.get() } }, link);
    } else {
      this.#forward(message, link);
    }
  }

  #compareMarks(marks: Readonly<Record<string, number>>, link: links.Link): void {
    for (const [name, mark] of Object.entries(marks)) {
      link.marks.set(name, mark);
    }
    this.#requests.advance();
  }

  #forward(message: types.LinkMessage, from: links.Link | undefined): void {
    const encoded = links.encode(message);
    for (const link of this.#links) {
      // Updates are rare and matter at once, so they also go over standbys. A VM whose own hello is
      // still on its way must not miss what came after the hello that it was sent.
      if (link !== from && link.isIntroduced) {
        link.send(encoded);
      }
    }
  }

  #sendWhole(feeds: readonly string[], link: links.Link): void {
    for (const name of feeds) {
      const feed = this.#feeds.get(name);
      if (feed !== undefined) {
        const payload = feed.createSnapshot();
        link.send(links.encode({ kind: "feed", feed: name, payload, isWhole: true }));
      }
    }
  }

  /** Sends what this VM knows, or by what marks it can be compared. */
  #introduce(link: links.Link): void {
    const feeds: Record<string, unknown> = {};
    const marks: Record<string, number> = {};
    for (const [name, feed] of this.#feeds) {
      if (feed.marks === undefined) {
        feeds[name] = feed.createSnapshot();
      } else {
        marks[name] = feed.marks.get();
      }
    }
    link.isIntroduced = true;
    link.send(links.encode({
      kind: "hello",
      identity: this.self,
      members: this.#table.list(),
      feeds,
      marks,
    }));
  }

  #closeSilentLinks(): void {
    const oldest = kernel.getMonotonicMilliseconds() - LINK_SILENCE_MILLISECONDS;
    for (const link of this.#links) {
      if (link.heardAt < oldest) {
        link.close();
      }
    }
  }

  /** Dials the relays that this VM should follow and lets go of links that nobody needs. */
  #maintainLinks(): void {
    const wanted = this.#chooseRoles();
    for (const link of this.#links) {
      if (link.dialledAddress === undefined || link.peer === undefined) {
        continue;
      }
      const role = wanted.get(link.peer.address);
      if (role === undefined) {
        link.close();
        this.#links.delete(link);
      } else if (role !== link.role) {
        link.role = role;
        link.send(links.encode({ kind: "role", role }));
      }
      wanted.delete(link.peer.address);
    }
    for (const address of wanted.keys()) {
      this.#dial(address);
    }
    this.#dialSeeds();
  }

  #chooseRoles(): Map<string, types.LinkRole> {
    const roles = new Map<string, types.LinkRole>();
    const ranked = this.rankOwnDataCentre();
    const ownRank = ranked.findIndex((member) => member.vm === this.self.vm);
    for (const [rank, relay] of ranked.slice(0, RELAYS_PER_DATA_CENTRE).entries()) {
      if (rank < ownRank) {
        roles.set(relay.address, rank === 0 ? "subscription" : "standby");
      }
    }
    if (ownRank === 0) {
      for (const dataCentre of this.#table.listDataCentres()) {
        const relay = this.#table.rank(dataCentre)[0];
        // One of the two dials, or both would.
        if (relay !== undefined && relay.vm > this.self.vm) {
          roles.set(relay.address, "bridge");
        }
      }
    }
    return roles;
  }

  #dialSeeds(): void {
    const now = kernel.getMonotonicMilliseconds();
    if (now - this.#seedsDialledAt < SEED_INTERVAL_MILLISECONDS) {
      return;
    }
    this.#seedsDialledAt = now;
    const known = new Set(this.#table.list().map((member) => member.address));
    for (const seed of this.#options.listSeeds()) {
      if (seed !== this.self.address && !known.has(seed)) {
        this.#dial(seed);
      }
    }
  }

  #dial(address: string): void {
    const isDialled = [...this.#links].some((link) => link.dialledAddress === address);
    if (isDialled) {
      return;
    }
    const socket = new ws.WebSocket(`ws://${address}`, {
      perMessageDeflate: false,
      handshakeTimeout: DIAL_TIMEOUT_MILLISECONDS,
    });
    const link = new links.Link(socket, this, address);
    socket.once("open", () => this.#introduce(link));
    this.#addLink(link);
  }

  #addLink(link: links.Link): void {
    this.#links.add(link);
  }
}
