/**
 * The listener's certificate and key, reloaded when their files change.
 */

import * as fs from "node:fs";
import type * as https from "node:https";
import * as tls from "node:tls";
import type * as kernel from "@hemlockwalk/kernel";
import * as neverthrow from "neverthrow";
import type * as meters from "./meters.ts";

const POLL_MILLISECONDS = 1_000;

/** Paths of the certificate and key files. */
export interface TlsFilePaths {
  readonly certificateFile: string;
  readonly keyFile: string;
}

/** A certificate and its matching key. */
export interface TlsMaterial {
  readonly cert: Buffer;
  readonly key: Buffer;
}

/** The files are unreadable, malformed or don't match. */
export interface TlsFileError {
  readonly kind: "unusable";
  readonly detail: string;
}

/** Thrown if the files cannot be used at startup. */
export class TlsStartError extends Error {
  override readonly name = "TlsStartError";
}

/** Reads both files and checks that they match. */
export function readTlsFiles(
  paths: TlsFilePaths,
): neverthrow.Result<TlsMaterial, TlsFileError> {
  try {
    const material = {
      cert: fs.readFileSync(paths.certificateFile),
      key: fs.readFileSync(paths.keyFile),
    };
    tls.createSecureContext(material);
    return neverthrow.ok(material);
  } catch (error) {
    return neverthrow.err({ kind: "unusable", detail: (error as Error).message });
  }
}

/** Reloads changed files into a server. Its open connections are not affected. */
export class TlsFileWatcher {
  readonly #paths: TlsFilePaths;
  readonly #server: https.Server;
  readonly #logger: kernel.ComponentLogger;
  readonly #meters: meters.GatewayMeters;
  readonly #onChange = () => this.reload();

  constructor(
    paths: TlsFilePaths,
    server: https.Server,
    logger: kernel.ComponentLogger,
    gatewayMeters: meters.GatewayMeters,
  ) {
    this.#paths = paths;
    this.#server = server;
    this.#logger = logger;
    this.#meters = gatewayMeters;
  }

  start(): void {
    for (const file of [this.#paths.certificateFile, this.#paths.keyFile]) {
      // Polling also detects files that are replaced by changing a symbolic link.
      fs.watchFile(file, { interval: POLL_MILLISECONDS, persistent: false }, this.#onChange);
    }
  }

  stop(): void {
    for (const file of [this.#paths.certificateFile, this.#paths.keyFile]) {
      fs.unwatchFile(file, this.#onChange);
    }
  }

  /** Loads the files if they are usable; otherwise keeps the current certificate and key. */
  reload(): void {
    const material = readTlsFiles(this.#paths);
    if (material.isErr()) {
      this.#meters.tlsReloads.inc({ result: "refused" });
      this.#logger.error("Cannot use the changed TLS files; keeping the current certificate.", {
        detail: material.error.detail,
      });
      return;
    }
    this.#server.setSecureContext({ ...material.value });
    this.#meters.tlsReloads.inc({ result: "accepted" });
    this.#logger.info("Loaded the changed TLS files.");
  }
}
