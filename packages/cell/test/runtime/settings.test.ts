import { readFileSync } from 'node:fs'
import { describe, test } from 'node:test'
import { expect } from 'earl'
import { resolveSettings } from '../../src/index.js'

const VALUES: Record<string, string> = {
  'node|json': '"n1"',
  'zone|json': '"z1"',
  'ip|json': '"127.0.0.1"',
  'limits.cpu_cores': '1',
  'limits.cpu_share': '0.675',
  'limits.link_mbps': '1000.0',
  'listen_addrs.frontend|json': '"127.0.0.1:8161"',
  'listen_addrs.readiness|json': '"127.0.0.1:8167"',
  'internal_ports.0': '7720',
  'platform.address|json': '"127.0.0.1:8169"',
  'advice|json': '"127.0.0.1:8170"',
  'limits.memory_mb': '602',
  'limits.max_fds': '10250',
  'bounds.grace_s': '4.5',
  'bounds.hold_max_ms': '10000',
  'bounds.status_s': '120'
}

/** @returns the settings template of `deploy/` with all placeholders filled in */
function fill (changes: Record<string, string> = {}): string {
  const template = readFileSync(new URL('../../../../../deploy/settings.yaml', import.meta.url), 'utf8')
  return template.replace(/\{\{([^}]+)\}\}/g, (_, name: string) => ({ ...VALUES, ...changes })[name] ?? '')
}

describe('settings of a process', () => {
  test('are read from the template in deploy/settings.yaml', () => {
    const settings = resolveSettings(fill(), 'boot.yaml').unwrap()
    expect(settings.bounds).toEqual({ grace: 4500, leaseMax: 10_000, finishedJobRetention: 120_000 })
    expect(settings.strength).toEqual(0.675)
    expect(settings.logLevel).toEqual('info')
  })

  test('leave what is done under overload to the configuration, unless they name it', () => {
    // Guards against deployments without organisations that stop or refuse work.
    expect(resolveSettings(fill(), 'boot.yaml').unwrap().overload).toEqual({ preemption: false, admission: false })
    expect(resolveSettings(fill() + '\noverload:\n  preemption: true\n  admission: true', 'boot.yaml').unwrap().overload).toEqual({ preemption: true, admission: true })
    expect(resolveSettings(fill() + '\noverload:\n  preemption: 1', 'boot.yaml').unwrapErr().map(({ message }) => message)).toEqual(['overload.preemption is 1; expected true or false'])
  })

  test('give an instance with a slow network link less strength', () => {
    expect(resolveSettings(fill({ 'limits.link_mbps': '10' }), 'boot.yaml').unwrap().strength).toEqual(0.675 / 4)
  })

  test('derive limits from the memory and the descriptors of the machine', () => {
    const { limits } = resolveSettings(fill(), 'boot.yaml').unwrap()
    expect([limits!.connections, limits!.bodyBytes, limits!.waitingWrites, limits!.links]).toEqual([2408, 39_452_672, 4816, 2010])
    expect(resolveSettings(fill({ 'limits.memory_mb': '210', 'limits.max_fds': '2212' }), 'boot.yaml').unwrap().limits!.connections).toEqual(840)
  })

  test('without the section of limits have those of the smallest machine', () => {
    const { limits } = resolveSettings(fill().replace(/limits:[^]*$/, ''), 'boot.yaml').unwrap()
    expect([limits!.connections, limits!.bodyBytes]).toEqual([840, 13_762_560])
  })

  test('name limits with their units', () => {
    const text = `${fill()}  bodyBytes: 2 MB\n  headBytes: 32 KB\n  headTimeout: 7 s\n  connections: 12\n`
    const { limits } = resolveSettings(text, 'boot.yaml').unwrap()
    expect([limits!.bodyBytes, limits!.headBytes, limits!.headTimeout, limits!.connections]).toEqual([2_097_152, 32_768, 7000, 12])
    const findings = resolveSettings(text.replace('bodyBytes: 2 MB', 'bodyBytes: 2'), 'boot.yaml').unwrapErr()
    expect(findings.map(({ message }) => message)).toEqual(['limits.bodyBytes is 2; expected a size such as 210 MB, 64 KB or 512 B'])
  })

  test('that are invalid are all reported with their position and the expected form', () => {
    const findings = resolveSettings(fill({ 'ip|json': '', 'platform.address|json': '"store"', 'bounds.grace_s': '-1' }), 'boot.yaml').unwrapErr()
    expect(findings.map(({ code, place, message }) => `${place.file}:${place.line} ${code} ${message}`)).toEqual([
      'boot.yaml:3 bad-setting ip is null; expected a non-empty string',
      'boot.yaml:14 bad-setting store.address is "store"; expected an address such as 10.1.0.13:8161',
      'boot.yaml:18 bad-setting bounds.grace is "-1 s"; expected a duration such as 6 s or 250 ms'
    ])
  })

  test('that are missing are reported', () => {
    const text = fill().replace(/store:\n {2}address: .*\n/, '')
    expect(resolveSettings(text, 'boot.yaml').unwrapErr().map(({ code }) => code)).toEqual(['missing-setting'])
  })

  test('that are not valid YAML are reported', () => {
    expect(resolveSettings('node: [', 'boot.yaml').unwrapErr()[0]!.code).toEqual('bad-yaml')
  })
})
