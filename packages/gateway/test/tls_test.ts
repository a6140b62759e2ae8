/**
 * The TLS listener reloads changed files without closing connections and ignores invalid files.
 */

import assert from "node:assert/strict";
import * as fs from "node:fs";
import * as https from "node:https";
import * as os from "node:os";
import * as path from "node:path";
import * as test from "node:test";
import type * as tls from "node:tls";
import * as certificates from "./certificates.ts";
import * as harness from "./harness.ts";

interface SecureAnswer {
  readonly status: number | undefined;
  readonly subject: string | undefined;
}

function callSecurely(port: number, agent: https.Agent): Promise<SecureAnswer> {
  return new Promise((resolve, reject) => {
    const request = https.get({
      port,
      host: "127.0.0.1",
      path: "/fines",
      agent,
      rejectUnauthorized: false,
      headers: { authorization: `Bearer ${harness.KEY}` },
    }, (response) => {
      const subject = (response.socket as tls.TLSSocket).getPeerCertificate().subject?.CN;
      response.resume();
      response.on("end", () => resolve({ status: response.statusCode, subject: String(subject) }));
    });
    request.on("error", reject);
  });
}

test.describe("TLS listener", () => {
  test.it("uses changed files for new connections and ignores invalid ones", async (context) => {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "hemlockwalk-tls-"));
    const certificateFile = path.join(folder, "certificate.pem");
    const keyFile = path.join(folder, "key.pem");
    const write = (certificate: string, key: string) => {
      fs.writeFileSync(certificateFile, certificate);
      fs.writeFileSync(keyFile, key);
    };
    write(certificates.FIRST.certificate, certificates.FIRST.key);
    const target = await harness.startTarget((_request, response) => response.end());
    const vm = await harness.startVm({
      targets: [target.address],
      listener: { tls: { certificateFile, keyFile } },
    });
    const kept = new https.Agent({ keepAlive: true });
    const getFresh = () => callSecurely(vm.port, new https.Agent({ maxCachedSessions: 0 }));
    context.after(async () => {
      kept.destroy();
      await vm.services.stop();
      await target.stop();
      fs.rmSync(folder, { recursive: true });
    });
    const getReloads = (result: string) => vm.getCount("hemlockwalk_tls_reloads_total", { result });

    assert.deepEqual(await callSecurely(vm.port, kept), { status: 200, subject: "listener-1" });
    // The key of a different certificate.
    write(certificates.SECOND.certificate, certificates.FIRST.key);
    await harness.waitFor(async () => await getReloads("refused") > 0);
    assert.deepEqual(await getFresh(), { status: 200, subject: "listener-1" });
    write(certificates.SECOND.certificate, certificates.SECOND.key);
    await harness.waitFor(async () => await getReloads("accepted") > 0);
    assert.deepEqual(await getFresh(), { status: 200, subject: "listener-2" });
    // The connection that was already open is not affected.
    assert.deepEqual(await callSecurely(vm.port, kept), { status: 200, subject: "listener-1" });
  });

  test.it("does not start with files that cannot be used", async () => {
    const tlsFiles = { certificateFile: "/nowhere/certificate.pem", keyFile: "/nowhere/key.pem" };
    await assert.rejects(
      harness.startVm({ targets: [], listener: { tls: tlsFiles } }),
      { name: "TlsStartError" },
    );
  });
});
