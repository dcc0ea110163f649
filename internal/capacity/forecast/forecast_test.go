package forecast_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/capacity/forecast"
)

// friday is a Friday at noon.
var friday = time.Date(2026, 11, 27, 12, 0, 0, 0, time.UTC)

// feed observes a demand of high from 13:00 to 17:00 on Fridays and of low otherwise, each minute from start to end.
func feed(f *forecast.Forecast, start, end time.Time, low, high float64) {
	for now := start; now.Before(end); now = now.Add(time.Minute) {
		d := low
		if now.Weekday() == time.Friday && now.Hour() >= 13 && now.Hour() < 17 {
			d = high
		}
		f.Observe(now, d)
	}
}

func TestFridayBurst(t *testing.T) {
	convey.Convey("A forecast that has seen one week with a Friday burst", t, func() {
		f := forecast.New()
		next := friday.AddDate(0, 0, 7)
		feed(f, friday, next, 4, 12)
		convey.Convey("predicts the burst before it begins", func() {
			feed(f, next, next.Add(50*time.Minute), 4, 12)
			convey.So(f.Peak(next.Add(50*time.Minute), 15*time.Minute), convey.ShouldAlmostEqual, 12, 0.01)
			convey.So(f.Peak(next.Add(10*time.Minute), 15*time.Minute), convey.ShouldAlmostEqual, 4, 0.01)
		})
		convey.Convey("predicts a higher burst in a busier week", func() {
			feed(f, next, next.Add(50*time.Minute), 5, 12)
			convey.So(f.Peak(next.Add(50*time.Minute), 15*time.Minute), convey.ShouldAlmostEqual, 15, 0.1)
		})
	})
}

func TestRisingLevel(t *testing.T) {
	f := forecast.New()
	for m := range 20 {
		f.Observe(friday.Add(time.Duration(m)*time.Minute), float64(m))
	}
	if p := f.Peak(friday.Add(19*time.Minute), 10*time.Minute); p < 19 || p > 32 {
		t.Fatalf("a demand that rises by 1 a minute to 19 is predicted to reach %.1f in ten minutes, want 19 to 32", p)
	}
}

func ExampleForecast() {
	f := forecast.New()
	for m := range 30 {
		f.Observe(friday.Add(time.Duration(m)*time.Minute), 6)
	}
	fmt.Printf("%.1f\n", f.Peak(friday.Add(30*time.Minute), 10*time.Minute))
	// Output: 6.0
}
