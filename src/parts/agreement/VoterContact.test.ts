import { expect, test } from 'vitest'
import { VoterContact } from './VoterContact.js'

const SELF = 'b:1~1'
const FORMER = 'a:1~1'
const OTHER = 'c:1~1'

/** Checks every 100 ms, as the host does. */
function checkUntil (contact: VoterContact, fromMs: number, toMs: number, role: 'follower' | 'leader'): void {
  const leader = role === 'leader' ? SELF : FORMER
  for (let nowMs = fromMs; nowMs <= toMs; nowMs += 100) contact.check(SELF, role, leader, nowMs)
}

test('the former leader is silent from its last frame on, once it has left the new one unanswered', () => {
  const contact = new VoterContact(0)
  checkUntil(contact, 0, 1500, 'follower')
  contact.recordFrame(FORMER, 1000)
  expect(contact.silenceMs(FORMER, 1500)).toBe(0)
  checkUntil(contact, 1600, 1700, 'leader')
  expect(contact.silenceMs(FORMER, 1799)).toBe(0)
  expect(contact.silenceMs(FORMER, 1800)).toBe(800)
})

// Members send to their leader only, so a new leader has heard nothing of them while they were well.
test('another member is silent from the moment at which the former leader was given up', () => {
  const contact = new VoterContact(0)
  checkUntil(contact, 0, 1500, 'follower')
  checkUntil(contact, 1600, 1800, 'leader')
  expect(contact.silenceMs(OTHER, 1800)).toBe(300)
  contact.recordFrame(OTHER, 1850)
  expect(contact.silenceMs(OTHER, 1900)).toBe(0)
  expect(contact.silenceMs(OTHER, 2250)).toBe(400)
})

// The check runs before the frames are read that arrived while the process stood still.
test('silence starts anew after a pause of this process, and counts late after a late check', () => {
  const contact = new VoterContact(0)
  checkUntil(contact, 0, 1000, 'leader')
  contact.recordFrame(OTHER, 1000)
  contact.check(SELF, 'leader', SELF, 1300)
  expect(contact.silenceMs(OTHER, 1300)).toBe(0)
  contact.check(SELF, 'leader', SELF, 1400)
  contact.check(SELF, 'leader', SELF, 1500)
  expect(contact.silenceMs(OTHER, 1500)).toBe(500)
  contact.check(SELF, 'leader', SELF, 2100)
  checkUntil(contact, 2200, 2300, 'leader')
  expect(contact.silenceMs(OTHER, 2300)).toBe(200)
})

test('nobody is silent at a replica that does not lead, and the time without a leader is known', () => {
  const contact = new VoterContact(0)
  checkUntil(contact, 0, 1000, 'follower')
  contact.check(SELF, 'candidate', undefined, 1100)
  expect(contact.silenceMs(OTHER, 5000)).toBe(0)
  expect(contact.leaderlessMs(5000)).toBe(4000)
  expect(contact.unheardMs(OTHER, 5000)).toBe(Infinity)
})
