import { spawn } from 'node:child_process'
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { call } from './http.js'

/** Command of the deploy file that starts a node. */
function readCommand (root) {
  const match = /^run = "([^"]+)"$/m.exec(readFileSync(join(root, 'deploy/system.toml'), 'utf8'))
  return match[1].split(' ')
}

/** Fills in the template of the settings as the platform does; the template has only plain values. */
function renderSettings (root, fields) {
  const template = readFileSync(join(root, 'deploy/settings.yaml'), 'utf8')
  return template.replace(/\{\{([a-z_0-9.]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = path.split('.').reduce((object, name) => object?.[name], fields)
    return json === undefined ? String(value ?? '') : JSON.stringify(value)
  })
}

/** A node: one process of the deploy file at a time, started and ended by signals. */
export class NodeProcess {
  constructor ({ root, folder, journal, name, zone, ip, store, advice }) {
    Object.assign(this, { root, folder, journal, name, ip })
    this.frontend = `${ip}:8161`
    this.readiness = `${ip}:8167`
    this.fields = {
      node: name,
      zone,
      ip,
      limits: { cpu_share: 0.675, cpu_cores: 1, link_mbps: 1000 },
      listen_addrs: { frontend: this.frontend, readiness: this.readiness },
      internal_ports: [7720, 7735],
      platform: { address: store },
      advice,
      bounds: { grace_s: 6, hold_max_ms: 10_000, status_s: 120 }
    }
  }

  /** Ports that a node uses on its address. */
  static ports = [8161, 8167, 7720, 9464]

  start () {
    const file = join(this.folder, `${this.name}.yaml`)
    writeFileSync(file, renderSettings(this.root, this.fields))
    const [program, ...args] = readCommand(this.root)
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program === 'node' ? process.execPath : program, args, { cwd: this.root, env: { PATH, HOME, LANG, RATTANSTEP_BOOT: file }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(this.folder, `${this.name}.log`), { flags: 'a' })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    this.child = child
    this.isEndExpected = false
    this.journal.write('process', `${this.name} started, pid ${child.pid}`)
    child.once('exit', (code, signal) => {
      this.journal.write('process', `${this.name} ended, code ${code}, signal ${signal}${this.isEndExpected ? '' : ' (by itself)'}`)
      if (this.child === child) this.child = undefined
    })
  }

  signal (signal) {
    if (signal === 'SIGKILL' || signal === 'SIGTERM') this.isEndExpected = true
    this.journal.write('signal', `${signal} to ${this.name}`)
    this.child?.kill(signal)
  }

  async isReady () {
    return (await call(this.readiness, { method: 'GET', path: '/readiness', timeout: 1000 })).status === 200
  }

  async close () {
    const { child } = this
    if (child === undefined) return
    this.isEndExpected = true
    const ended = new Promise(resolve => { child.once('exit', resolve) })
    child.kill('SIGKILL')
    await ended
  }
}
