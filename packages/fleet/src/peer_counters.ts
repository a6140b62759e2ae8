/**
 * Counters of the links between VMs.
 */

import type * as kernel from "@hemlockwalk/kernel";

/** What the peer links of one VM count. */
export class PeerCounters {
  readonly frames;
  readonly bytes;
  readonly drops;
  readonly linksOpened;
  readonly linksEnded;
  readonly handshakesRefused;
  readonly dialsFailed;

  constructor(metrics: kernel.Metrics) {
    this.frames = metrics.createCounter(
      "hemlockwalk_peer_frames_total",
      "Frames moved over peer links, heartbeats of links included.",
      ["direction"],
    );
    this.bytes = metrics.createCounter(
      "hemlockwalk_peer_bytes_total",
      "Bytes of frames moved over peer links, without the overhead of TCP.",
      ["direction"],
    );
    this.drops = metrics.createCounter(
      "hemlockwalk_peer_drops_total",
      "Frames dropped, by reason.",
      ["reason"],
    );
    this.linksOpened = metrics.createCounter(
      "hemlockwalk_peer_links_opened_total",
      "Links opened, by the role of this VM and whether the peer had a link before.",
      ["role", "again"],
    );
    this.linksEnded = metrics.createCounter(
      "hemlockwalk_peer_links_ended_total",
      "Links ended, by reason.",
      ["reason"],
    );
    this.handshakesRefused = metrics.createCounter(
      "hemlockwalk_peer_handshakes_refused_total",
      "Connections that did not become links, by reason.",
      ["reason"],
    );
    this.dialsFailed = metrics.createCounter(
      "hemlockwalk_peer_dials_failed_total",
      "Connections to peers that could not be opened.",
    );
  }
}
